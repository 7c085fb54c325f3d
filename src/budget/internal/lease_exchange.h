#ifndef REDWING_BUDGET_INTERNAL_LEASE_EXCHANGE_H_
#define REDWING_BUDGET_INTERNAL_LEASE_EXCHANGE_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "budget/internal/budget_account.h"
#include "framework/kernel/clock.h"

namespace redwing {

class Freshness;
class LendingPolicy;
class Membership;
class Metrics;
class PeerTransport;
class ShareLedger;
struct Envelope;
struct Identity;
struct Member;

// Lends shares of this instance's budgets to peers and borrows shares from
// them.
class LeaseExchange {
 public:
  LeaseExchange(Metrics& metrics,
                std::shared_ptr<Identity> identity,
                std::unique_ptr<LendingPolicy> policy,
                Milliseconds lease_duration,
                AccountMap& accounts);
  ~LeaseExchange();

  void Attach(std::shared_ptr<PeerTransport> transport,
              std::shared_ptr<Membership> membership,
              std::shared_ptr<Freshness> freshness,
              std::shared_ptr<ShareLedger> ledger);

  // Discards requests that have timed out without a response.
  void ExpireRequests(TimePoint now);
  // Returns whether the budget needs a larger share that peers may still lend.
  bool MayBorrow(const std::string& name,
                 BudgetAccount& account,
                 TimePoint now);
  // Requests leases from peers for the share that the budget lacks.
  void BorrowFor(const std::string& name,
                 BudgetAccount& account,
                 TimePoint now);
  // Requests extension of borrowed leases that are needed and returns those
  // that are not.
  void Renew(const std::string& name, BudgetAccount& account, TimePoint now);

 private:
  struct OpenRequest {
    std::string budget;
    std::string peer;
    uint64_t lease_id = 0;  // lease to extend; 0 for a new one
    double share = 0;       // requested share; 0 for an extension
    TimePoint sent_at;
  };

  void ReturnSurplus(const std::string& name,
                     BudgetAccount& account,
                     TimePoint now);
  void SendRequest(const std::string& peer, OpenRequest request, TimePoint now);
  // Returns the sum of the shares in requests that await a response.
  double OpenShare(const std::string& budget) const;
  // Returns the share owners that may lend, in random order, with those of this
  // region first.
  std::vector<const Member*> Lenders(const BudgetAccount& account,
                                     TimePoint now);
  void HandleRequest(const Envelope& envelope);
  void HandleReturn(const Envelope& envelope);
  void HandleGrant(const Envelope& envelope);

  Metrics& metrics_;
  std::shared_ptr<Identity> identity_;
  std::unique_ptr<LendingPolicy> policy_;
  Milliseconds lease_duration_;
  AccountMap& accounts_;
  std::shared_ptr<PeerTransport> transport_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<Freshness> freshness_;
  std::shared_ptr<ShareLedger> ledger_;
  std::map<uint64_t, OpenRequest> open_requests_;
  std::mt19937_64 random_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_LEASE_EXCHANGE_H_
