#ifndef REDWING_BUDGET_BUDGETS_H_
#define REDWING_BUDGET_BUDGETS_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "budget/budget_spec.h"
#include "budget/charge.h"
#include "budget/reservation.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

// What one instance holds of one budget.
struct BudgetStatus {
  std::string name;
  double rate = 0;
  double burst = 0;
  double own_share = 0;
  double lent_share = 0;
  double borrowed_share = 0;
  double tokens = 0;
  double demand = 0;  // units a second
  size_t waiting = 0;
  double spent = 0;
  double refused = 0;
};

// Admission against budgets that are counted over the fleet.
class Budgets {
 public:
  static constexpr std::string_view kServiceName = "budgets";

  virtual ~Budgets() = default;

  // Announces charges that a request pays when it goes to its target. Charges
  // against budgets that do not exist are left out. Fails at once with kNotRun
  // where the queue before a budget is longer than it can serve in time (the
  // charge's error, with the time to come back), and with kStale when this
  // instance's share may have passed to others and `allow_stale` is not set.
  virtual Result<std::unique_ptr<Reservation>> Reserve(
      const std::vector<Charge>& charges,
      TimePoint deadline,
      bool allow_stale) = 0;

  // Spends from one budget, waiting in its queue for tokens where they come
  // soon enough. Fails as Reserve() does.
  virtual Result<void> Acquire(const Charge& charge,
                               TimePoint deadline,
                               bool allow_stale,
                               const Yield& yield) = 0;

  // Waits for tokens however long it takes; for pacing what must go on.
  // Returns false when the deadline passed first.
  virtual bool Pace(std::string_view name,
                    double amount,
                    TimePoint deadline,
                    const Yield& yield) = 0;

  virtual std::vector<BudgetStatus> Status() = 0;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGETS_H_
