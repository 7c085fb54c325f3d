#ifndef REDWING_BUDGET_SHARE_BUCKET_H_
#define REDWING_BUDGET_SHARE_BUCKET_H_

#include <vector>

#include "budget/budget_spec.h"
#include "budget/share_lease.h"
#include "budget/token_grant_record.h"

namespace redwing {

// Token bucket for one instance's share of one budget. Its rate and capacity
// are scaled by the effective share: the own share minus lent shares plus
// borrowed shares. Shares are fractions of the budget (0 to 1).
//
// Invariant: over all instances, effective shares add up to at most 1 and
// tokens to at most the burst. A lease counts for the borrower from the grant
// until its expiry, measured from the time at which the borrower sent the
// request; the lender's copy expires later. So both never count it at once.
// Tokens granted to other instances reduce the capacity until they are reported
// spent or expire, so that these and the tokens held here together never exceed
// the share's burst.
class ShareBucket {
 public:
  ShareBucket(BudgetSpec spec, TimePoint now);

  const BudgetSpec& spec() const { return spec_; }
  // Replaces rate and burst. Discards tokens above the new capacity.
  void SetSpec(const BudgetSpec& spec, TimePoint now);

  // Sets the own share. While the lent shares exceed it, own_share() returns
  // their sum and no lease is extended.
  void SetOwnShare(double share, TimePoint now);
  double own_share() const;
  double lent_share() const;
  double borrowed_share() const;
  double EffectiveShare() const;

  // Spends tokens if there are enough. Returns whether they were spent.
  bool TrySpend(double amount, TimePoint now);
  // Returns the tokens held at `now`, after refilling and removing expired
  // leases and grants.
  double Tokens(TimePoint now);
  // Returns the tokens as of the last call with a `now` argument.
  double held_tokens() const { return tokens_; }
  // Returns the refill rate in units per second.
  double Rate() const { return EffectiveShare() * spec_.rate; }
  // Returns the maximum number of tokens that the bucket holds.
  double Capacity() const;
  // Returns the fraction of the own share that can be lent: the own share minus
  // lent shares and the share equivalent of outstanding token grants.
  double FreeShare() const;

  // Lends a fraction of the own share. Deducts the share and its proportion of
  // the tokens, and returns these tokens for the borrower.
  double Lend(const ShareLease& lease, TimePoint now);
  // Extends a lease granted to a borrower. Returns false if it has expired or
  // if the lent shares exceed the own share.
  bool ExtendLent(uint64_t id, TimePoint until, TimePoint now);

  // Adds a borrowed share and its tokens. Ignores an expired lease.
  void Borrow(const ShareLease& lease, double tokens, TimePoint now);
  // Extends a borrowed lease. Returns false if it has expired.
  bool ExtendBorrowed(uint64_t id, TimePoint until, TimePoint now);

  // Returns whether the outstanding token grants remain covered by other shares
  // if the borrowed lease is returned.
  bool CanReturn(const ShareLease& lease) const;
  // Removes a borrowed lease. Returns its proportion of the tokens, 0 if the
  // lease has expired.
  double Return(uint64_t id, TimePoint now);
  // Removes a lease that `peer` returned and adds its tokens. Does nothing if
  // the lease has expired.
  void AcceptReturn(uint64_t id,
                    const std::string& peer,
                    double tokens,
                    TimePoint now);

  // Grants tokens to another instance. Returns false if there are too few, or
  // if the shares that stay valid until the grant expires do not cover all
  // outstanding grants.
  bool GrantTokens(const TokenGrantRecord& grant, TimePoint now);
  // Removes a grant whose tokens `peer` has reported as spent.
  void SettleGrant(uint64_t id, const std::string& peer, TimePoint now);
  // Returns the granted tokens that other instances may still spend.
  double outstanding_tokens() const;

  const std::vector<ShareLease>& lent() const { return lent_; }
  const std::vector<ShareLease>& borrowed() const { return borrowed_; }

 private:
  // Refills up to `now`, removing each lease and grant at its expiry.
  void Advance(TimePoint now);
  // Refills at the current rate up to `until`.
  void Accrue(TimePoint until);
  // Removes leases and grants that have expired at `now`.
  void ExpireUntil(TimePoint now);
  // Returns the own share that is not lent plus the borrowed shares that expire
  // after `until`.
  double ShareValidAfter(TimePoint until) const;
  // Returns the earliest expiry of a lease or grant, or `none` if that is
  // earlier.
  TimePoint NextExpiry(TimePoint none) const;
  // Discards tokens above the capacity.
  void Clamp();

  BudgetSpec spec_;
  double own_share_ = 0;
  double tokens_ = 0;
  TimePoint updated_at_;
  std::vector<ShareLease> lent_;
  std::vector<ShareLease> borrowed_;
  // Unexpired grants to other instances.
  std::vector<TokenGrantRecord> token_grants_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_SHARE_BUCKET_H_
