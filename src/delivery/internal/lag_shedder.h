#ifndef REDWING_DELIVERY_INTERNAL_LAG_SHEDDER_H_
#define REDWING_DELIVERY_INTERNAL_LAG_SHEDDER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Decides which part of the callers' requests an instance refuses unread when
// its processor falls behind, so that what it takes on is done in time: work
// that queues in sockets would be done after its callers have left. Steers the
// event loop's lag to a target by the proportional and integral rule of PIE
// (RFC 8033). The load that this answers: more requests than the processor
// handles, for seconds. A single stall sheds nothing.
class LagShedder {
 public:
  // The lag that is aimed at under overload.
  static constexpr Milliseconds kTargetLag{40};

  // Takes a measurement of the lag: by how much a timer of the event loop came
  // late. To be called steadily, also without load.
  void NoteLag(Clock::duration lag, TimePoint now);

  // Part of the requests to refuse, 0 to 1.
  double part() const { return part_; }

 private:
  double part_ = 0;
  double last_lag_ = 0;  // seconds
  // Measurements over the target in a row.
  int over_target_ = 0;
  TimePoint measured_at_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_LAG_SHEDDER_H_
