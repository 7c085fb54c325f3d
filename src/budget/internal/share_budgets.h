#ifndef REDWING_BUDGET_INTERNAL_SHARE_BUDGETS_H_
#define REDWING_BUDGET_INTERNAL_SHARE_BUDGETS_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "budget/budget_options.h"
#include "budget/budgets.h"
#include "budget/internal/budget_account.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {

class Freshness;
class LendingPolicy;
class Membership;
class Metrics;
class PeerTransport;
class ShareLedger;
class SteeringConfig;
struct Envelope;
struct Identity;
struct Member;

// Budgets by shares: each instance spends from its own share without a
// message, and lends what it does not need to peers that are short.
class ShareBudgets : public Budgets {
 public:
  ShareBudgets(boost::asio::io_context& io,
               Metrics& metrics,
               std::shared_ptr<Identity> identity,
               std::unique_ptr<LendingPolicy> policy,
               BudgetOptions options);
  ~ShareBudgets() override;

  void Attach(std::shared_ptr<PeerTransport> transport,
              std::shared_ptr<Membership> membership,
              std::shared_ptr<SteeringConfig> config,
              std::shared_ptr<Freshness> freshness,
              std::shared_ptr<ShareLedger> ledger);
  void Start();
  void Stop();

  Result<std::unique_ptr<Reservation>> Reserve(
      const std::vector<Charge>& charges,
      TimePoint deadline,
      bool allow_stale) override;
  Result<void> Acquire(const Charge& charge,
                       TimePoint deadline,
                       bool allow_stale,
                       const Yield& yield) override;
  bool Pace(std::string_view name,
            double amount,
            TimePoint deadline,
            const Yield& yield) override;
  std::vector<BudgetStatus> Status() override;

 private:
  struct OpenRequest {
    std::string budget;
    std::string peer;
    uint64_t lease_id = 0;
    double share = 0;
    TimePoint sent_at;
  };
  using AccountMap = std::map<std::string, BudgetAccount, std::less<>>;

  void ApplyDocument();
  void ApplyShares();
  double LargestLentShare(BudgetScope scope);
  void Tick();
  void GrantWaiters(BudgetAccount& account, TimePoint now);
  bool Wait(BudgetAccount& account,
            double amount,
            bool pacing,
            TimePoint deadline,
            const Yield& yield);
  // Returns whether a request cannot get its tokens in time.
  bool Hopeless(const std::string& name,
                BudgetAccount& account,
                double amount,
                TimePoint deadline,
                TimePoint now);
  // Takes a charge into the demand; fails where its queue is too long already.
  Result<void> Announce(const std::string& name,
                        BudgetAccount& account,
                        const Charge& charge,
                        TimePoint deadline,
                        TimePoint now);
  // Returns whether more of a budget may still come from peers.
  bool MayBorrow(const std::string& name,
                 BudgetAccount& account,
                 TimePoint now);
  void BorrowFor(const std::string& name,
                 BudgetAccount& account,
                 TimePoint now);
  void RenewLeases(const std::string& name,
                   BudgetAccount& account,
                   TimePoint now);
  // Gives leases back that are no longer needed.
  void ReturnSurplus(const std::string& name,
                     BudgetAccount& account,
                     TimePoint now);
  void SendRequest(const std::string& peer, OpenRequest request, TimePoint now);
  double OpenShare(const std::string& budget) const;
  std::vector<const Member*> Lenders(const BudgetAccount& account,
                                     TimePoint now);
  void HandleRequest(const Envelope& envelope);
  void HandleReturn(const Envelope& envelope);
  void HandleGrant(const Envelope& envelope);

  boost::asio::io_context& io_;
  Metrics& metrics_;
  std::shared_ptr<Identity> identity_;
  std::unique_ptr<LendingPolicy> policy_;
  BudgetOptions options_;
  std::shared_ptr<PeerTransport> transport_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<Freshness> freshness_;
  std::shared_ptr<ShareLedger> ledger_;
  AccountMap accounts_;
  std::map<uint64_t, OpenRequest> open_requests_;
  std::mt19937_64 random_;
  PeriodicTask tick_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_BUDGETS_H_
