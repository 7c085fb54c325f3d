#ifndef REDWING_DELIVERY_INTERNAL_LAG_SHEDDER_H_
#define REDWING_DELIVERY_INTERNAL_LAG_SHEDDER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Sheds a fraction of the callers' requests, before reading them, while the
// processor is overloaded. Without shedding, requests would queue in sockets
// and be run after their callers have disconnected. Controls the event loop's
// lag towards a target by the proportional-integral rule of PIE (RFC 8033).
// Reacts to overload that lasts for seconds; a single stall sheds nothing.
class LagShedder {
 public:
  // Lag of the event loop that is the target under overload.
  static constexpr Milliseconds kTargetLag{40};

  // Records a measurement of the lag, the delay with which a timer of the event
  // loop fired. Must be called regularly, also without load.
  void RecordLag(Clock::duration lag, TimePoint now);

  // Fraction of the requests to reject, 0 to 1.
  double shed_fraction() const { return shed_fraction_; }

 private:
  double shed_fraction_ = 0;
  double last_lag_ = 0;  // seconds
  // Number of consecutive measurements over the target.
  int over_target_ = 0;
  TimePoint measured_at_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_LAG_SHEDDER_H_
