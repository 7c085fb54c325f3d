#ifndef REDWING_BUDGET_INTERNAL_SHARE_BUDGETS_H_
#define REDWING_BUDGET_INTERNAL_SHARE_BUDGETS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "budget/budget_options.h"
#include "budget/budgets.h"
#include "budget/internal/budget_account.h"
#include "budget/internal/lease_exchange.h"
#include "budget/internal/token_exchange.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {

class Freshness;
class LendingPolicy;
class Membership;
class Metrics;
class PeerTransport;
class ShareLedger;
class SteeringConfig;
struct Identity;

// Budgets divided into shares that a few instances of each region own. A share
// owner spends from its share without sending messages and lends surplus share
// to other share owners. One share owner per region, the budget holder, grants
// tokens to the instances of its region; see TokenExchange.
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
  // Creates or updates the accounts from the steering document.
  void ApplyDocument();
  // Copies this instance's share from the ledger into all accounts.
  void ApplyShares();
  // Returns the largest share of any budget of the scope that is lent or bound
  // by outstanding token grants.
  double LargestLentShare(BudgetScope scope);
  void Tick();
  // Queues the caller until it is granted tokens. Returns false if the deadline
  // passed first.
  bool Wait(BudgetAccount& account,
            double amount,
            bool pacing,
            TimePoint deadline,
            const Yield& yield);
  // Returns whether a request cannot get its tokens before the deadline or the
  // maximum wait.
  bool CannotServeInTime(const std::string& name,
                         BudgetAccount& account,
                         double amount,
                         TimePoint deadline,
                         TimePoint now);
  // Requests shares as the budget holder, or tokens from the budget holder, if
  // this instance needs more.
  void Refill(const std::string& name, BudgetAccount& account, TimePoint now);
  // Returns whether this instance may spend: its state is fresh, so its shares
  // still belong to it, or stale state is allowed.
  bool MaySpend(bool allow_stale, TimePoint now) const;
  // Records the charge in the demand; rejects it if it cannot be served in
  // time.
  Result<void> AdmitToQueue(const std::string& name,
                            BudgetAccount& account,
                            const Charge& charge,
                            TimePoint deadline,
                            TimePoint now);

  boost::asio::io_context& io_;
  std::shared_ptr<Identity> identity_;
  BudgetOptions options_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<Freshness> freshness_;
  std::shared_ptr<ShareLedger> ledger_;
  AccountMap accounts_;
  LeaseExchange leases_;
  TokenExchange tokens_;
  PeriodicTask tick_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_BUDGETS_H_
