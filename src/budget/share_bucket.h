#ifndef REDWING_BUDGET_SHARE_BUCKET_H_
#define REDWING_BUDGET_SHARE_BUCKET_H_

#include <vector>

#include "budget/budget_spec.h"
#include "budget/share_lease.h"
#include "budget/token_grant_record.h"

namespace redwing {

// One instance's part of one budget: a token bucket whose rate and capacity
// are the instance's effective share of the whole, that is its own share less
// what it has lent plus what it has borrowed.
//
// Invariant: over all instances, effective shares add up to at most 1 and
// tokens to at most the burst. A lease counts for the borrower from the grant
// until `until` on the borrower's clock, which starts when the request was
// sent; for the lender until after that. So at no instant do both count it.
// Tokens that were drawn by other instances count against the capacity until
// they are known to be spent or can no longer be, so that they and the tokens
// held never pass the share's burst together.
class ShareBucket {
 public:
  ShareBucket(BudgetSpec spec, TimePoint now);

  const BudgetSpec& spec() const { return spec_; }
  // Replaces rate and burst. Tokens above the new capacity are dropped.
  void SetSpec(const BudgetSpec& spec, TimePoint now);

  // Sets the own share. While more is lent, it counts as what is lent, and no
  // lease is extended.
  void SetOwnShare(double share, TimePoint now);
  double own_share() const;
  double lent_share() const;
  double borrowed_share() const;
  double EffectiveShare() const;

  // Takes tokens if there are enough.
  bool TrySpend(double amount, TimePoint now);
  double Tokens(TimePoint now);
  // Tokens as of the last call that had the time.
  double held_tokens() const { return tokens_; }
  double Rate() const { return EffectiveShare() * spec_.rate; }
  double Capacity() const;
  // Part of the own share that neither leases nor drawn tokens take up.
  double FreeShare() const;

  // Lends a part of the own share: takes it and its part of the tokens out and
  // returns the tokens to hand over.
  double Lend(const ShareLease& lease, TimePoint now);
  // Extends a lease that was lent. Returns false when it has ended.
  bool ExtendLent(uint64_t id, TimePoint until, TimePoint now);

  // Adds a borrowed share and the tokens that came with it.
  void Borrow(const ShareLease& lease, double tokens, TimePoint now);
  // Extends a borrowed lease. Returns false when it has ended.
  bool ExtendBorrowed(uint64_t id, TimePoint until, TimePoint now);

  // Returns whether drawn tokens rest on other shares than a borrowed lease.
  bool CanReturn(const ShareLease& lease) const;
  // Gives a borrowed lease up; returns its part of the tokens.
  double Return(uint64_t id, TimePoint now);
  // Ends a lease lent to `peer` that was returned; without effect when it has
  // ended already.
  void AcceptReturn(uint64_t id,
                    const std::string& peer,
                    double tokens,
                    TimePoint now);

  // Hands tokens to another instance. Returns false when there are too few, or
  // when the shares that last as long as the draw do not hold all drawn ones.
  bool GrantTokens(const TokenGrantRecord& grant, TimePoint now);
  // Ends a draw whose tokens `peer` has spent.
  void SettleGrant(uint64_t id, const std::string& peer, TimePoint now);
  // Tokens that other instances may still spend.
  double outstanding_tokens() const;

  const std::vector<ShareLease>& lent() const { return lent_; }
  const std::vector<ShareLease>& borrowed() const { return borrowed_; }

 private:
  // Refills up to `now`, ending leases and draws at their time.
  void Advance(TimePoint now);
  void Accrue(TimePoint until);
  void ExpireUntil(TimePoint now);
  // The own share that is not lent, and what was borrowed beyond a time.
  double ShareValidAfter(TimePoint until) const;
  // The first end of a lease or draw, `none` if it comes first.
  TimePoint NextExpiry(TimePoint none) const;
  void Clamp();

  BudgetSpec spec_;
  double own_share_ = 0;
  double tokens_ = 0;
  TimePoint updated_at_;
  std::vector<ShareLease> lent_;
  std::vector<ShareLease> borrowed_;
  std::vector<TokenGrantRecord> token_grants_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_SHARE_BUCKET_H_
