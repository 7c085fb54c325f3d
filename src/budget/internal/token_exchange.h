#ifndef REDWING_BUDGET_INTERNAL_TOKEN_EXCHANGE_H_
#define REDWING_BUDGET_INTERNAL_TOKEN_EXCHANGE_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "budget/internal/budget_account.h"
#include "framework/kernel/clock.h"

namespace redwing {

class Freshness;
class LeaseExchange;
class Membership;
class Metrics;
class PeerTransport;
class ShareLedger;
struct Envelope;
struct Identity;
struct Member;

// Grants tokens to the instances of a region. One share owner of each region is
// the budget holder: it borrows shares from the other share owners according to
// the region's demand and grants tokens to all instances of the region. So few
// instances hold the tokens of a small budget, and the cost for an instance
// depends on its own requests, not on the size of the fleet.
class TokenExchange {
 public:
  TokenExchange(Metrics& metrics,
                std::shared_ptr<Identity> identity,
                AccountMap& accounts);

  void Attach(std::shared_ptr<PeerTransport> transport,
              std::shared_ptr<Membership> membership,
              std::shared_ptr<Freshness> freshness,
              std::shared_ptr<ShareLedger> ledger,
              LeaseExchange* leases);

  // Returns whether this instance is the budget holder of its region.
  bool IsHolder(const std::string& name,
                const BudgetAccount& account,
                TimePoint now) const;
  // Discards requests that have timed out without a response, and skips their
  // budget holders for a time.
  void ExpireRequests(TimePoint now);
  // Requests the tokens that local requests lack from the budget holder.
  void RequestTokens(const std::string& name,
                     BudgetAccount& account,
                     TimePoint now);
  // Returns whether tokens may still be granted within a time.
  bool MayReceiveTokens(const std::string& name,
                        BudgetAccount& account,
                        Clock::duration within,
                        TimePoint now);

 private:
  struct OpenRequest {
    std::string budget;
    std::string holder;
    double amount = 0;
    TimePoint sent_at;
  };

  // Returns the number of tokens in requests that await a response.
  double OpenAmount(const std::string& budget) const;
  // Returns the instance name of the budget holder: the reachable share owner,
  // of this region if possible, with the highest rendezvous score. Returns an
  // empty string if there is none.
  std::string HolderOf(const std::string& name,
                       const BudgetAccount& account,
                       TimePoint now) const;
  void HandleRequest(const Envelope& envelope);
  void HandleGrant(const Envelope& envelope);
  // Returns the time until this budget holder expects to have tokens for all
  // local and remote requests that wait.
  Milliseconds ExpectedWait(const std::string& name,
                            BudgetAccount& account,
                            TimePoint now);

  Metrics& metrics_;
  std::shared_ptr<Identity> identity_;
  AccountMap& accounts_;
  std::shared_ptr<PeerTransport> transport_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<Freshness> freshness_;
  std::shared_ptr<ShareLedger> ledger_;
  LeaseExchange* leases_ = nullptr;
  std::map<uint64_t, OpenRequest> open_requests_;
  std::mt19937_64 random_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_TOKEN_EXCHANGE_H_
