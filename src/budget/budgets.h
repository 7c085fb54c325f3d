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

// State of one budget on one instance. Shares are fractions of the budget (0 to
// 1); amounts are in units of the budget.
struct BudgetStatus {
  std::string name;
  double rate = 0;
  double burst = 0;
  double own_share = 0;
  double lent_share = 0;
  double borrowed_share = 0;
  double tokens = 0;
  double demand = 0;  // units per second
  size_t waiting = 0;
  double spent = 0;
  double refused = 0;
};

// Admits requests within the rate and burst limits of fleet and region budgets.
class Budgets {
 public:
  static constexpr std::string_view kServiceName = "budgets";

  virtual ~Budgets() = default;

  // Reserves charges that are made when the request is sent to its target.
  // Ignores charges against unknown budgets. Fails immediately with kNotRun,
  // the charge's error and a retry delay if the queue of a budget is too long
  // to be served in time. Fails with kStale if this instance's state is stale,
  // so that its share may belong to others, and `allow_stale` is false.
  virtual Result<std::unique_ptr<Reservation>> Reserve(
      const std::vector<Charge>& charges,
      TimePoint deadline,
      bool allow_stale) = 0;

  // Charges one budget, waiting in its queue if tokens are expected in time.
  // Succeeds without a charge if the budget is unknown. Fails like Reserve().
  virtual Result<void> Acquire(const Charge& charge,
                               TimePoint deadline,
                               bool allow_stale,
                               const Yield& yield) = 0;

  // Paces a transfer that has begun: waits for tokens until the deadline, ahead
  // of requests that have not started. Returns true once the tokens are charged
  // or if the budget is unknown, false if the deadline passed first.
  virtual bool Pace(std::string_view name,
                    double amount,
                    TimePoint deadline,
                    const Yield& yield) = 0;

  // Returns the state of all budgets, sorted by name.
  virtual std::vector<BudgetStatus> Status() = 0;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGETS_H_
