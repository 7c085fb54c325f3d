#ifndef REDWING_BUDGET_DEMAND_METER_H_
#define REDWING_BUDGET_DEMAND_METER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Estimates the demand for a budget in units per second from admitted and
// rejected requests, as an exponentially weighted moving average.
class DemandMeter {
 public:
  // Records demand; included in rate() by the next Update().
  void Add(double amount) { pending_ += amount; }

  // Updates the estimate with the demand added since the previous call.
  void Update(TimePoint now);

  // Returns the demand added since the last update, in units.
  double pending() const { return pending_; }
  // Returns the estimated demand in units per second.
  double rate() const { return rate_; }
  // Returns the approximate demand, in units, within the smoothing period of
  // the rate, including pending().
  double recent() const;

 private:
  double pending_ = 0;
  double rate_ = 0;
  TimePoint updated_at_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_DEMAND_METER_H_
