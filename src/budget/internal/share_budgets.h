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

// Budgets by shares: a few instances of each region own them. An owner spends
// from its own share without a message, and lends what it does not need to
// other owners that are short; all other instances draw tokens from an owner.
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
  void ApplyDocument();
  void ApplyShares();
  double LargestLentShare(BudgetScope scope);
  void Tick();
  bool Wait(BudgetAccount& account,
            double amount,
            bool pacing,
            TimePoint deadline,
            const Yield& yield);
  // Returns whether a request cannot get its tokens in time.
  bool CannotServeInTime(const std::string& name,
                         BudgetAccount& account,
                         double amount,
                         TimePoint deadline,
                         TimePoint now);
  // Gets tokens from elsewhere where those held here do not suffice.
  void Refill(const std::string& name, BudgetAccount& account, TimePoint now);
  // Returns whether this instance's shares are still its own.
  bool MaySpend(bool allow_stale, TimePoint now) const;
  // Takes a charge into the demand; fails where its queue is too long already.
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
