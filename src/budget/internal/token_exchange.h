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

// One owner in each region holds a budget there: it borrows from the others as
// the region's demand asks for, and hands tokens to all instances of the
// region. So the tokens of a small budget lie in few places, and what this
// costs an instance depends on its own requests, not on the size of the fleet.
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

  // Returns whether this instance holds a budget for its region.
  bool IsHolder(const std::string& name,
                const BudgetAccount& account,
                TimePoint now) const;
  // Forgets requests whose answer must be lost.
  void ExpireRequests(TimePoint now);
  // Asks the holder for what requests here need beyond what was drawn.
  void RequestTokens(const std::string& name,
                     BudgetAccount& account,
                     TimePoint now);
  // Returns whether tokens may still come within a time.
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

  double OpenAmount(const std::string& budget) const;
  // The name of the owner that holds a budget for this region: the first in
  // rendezvous order that answers; empty when there is none.
  std::string HolderOf(const std::string& name,
                       const BudgetAccount& account,
                       TimePoint now) const;
  void HandleRequest(const Envelope& envelope);
  void HandleGrant(const Envelope& envelope);
  // Returns when a holder expects to have tokens for all that wait.
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
