#ifndef REDWING_BUDGET_DEMAND_METER_H_
#define REDWING_BUDGET_DEMAND_METER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Estimates how many units a second are asked for, admitted or not. Rises at
// once with the demand and falls slowly.
class DemandMeter {
 public:
  void Add(double amount) { pending_ += amount; }

  // Takes what was added since the last call into the estimate.
  void Update(TimePoint now);

  // What was added since the last update.
  double pending() const { return pending_; }
  // Units a second.
  double rate() const { return rate_; }
  // What was asked for within the time over which the rate is smoothed, about.
  double recent() const;

 private:
  double pending_ = 0;
  double rate_ = 0;
  TimePoint updated_at_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_DEMAND_METER_H_
