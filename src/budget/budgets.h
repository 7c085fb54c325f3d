#ifndef REDWING_BUDGET_BUDGETS_H_
#define REDWING_BUDGET_BUDGETS_H_

#include <string>
#include <string_view>
#include <vector>

#include "budget/budget_spec.h"
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

  // Spends from a budget, waiting in its queue for tokens where they come soon
  // enough. A budget that does not exist does not limit. Fails with kNotRun:
  // kRateExceeded with the time to come back, kDeadlinePassed, or kStale when
  // this instance's share may have passed to others and `allow_stale` is not
  // set.
  virtual Result<void> Acquire(std::string_view name,
                               double amount,
                               TimePoint deadline,
                               bool allow_stale,
                               const Yield& yield) = 0;

  // Announces that a request will Acquire() soon, so that those that come after
  // it are judged by the queue there will be. Fails as Acquire() does when the
  // queue is too long already. Unreserve() before Acquire(), or instead of it.
  virtual Result<void> Reserve(std::string_view name,
                               double amount,
                               TimePoint deadline,
                               bool allow_stale) = 0;
  virtual void Unreserve(std::string_view name, double amount) = 0;

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
