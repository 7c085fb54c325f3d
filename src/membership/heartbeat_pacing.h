#ifndef REDWING_MEMBERSHIP_HEARTBEAT_PACING_H_
#define REDWING_MEMBERSHIP_HEARTBEAT_PACING_H_

#include <cstddef>

#include "framework/kernel/clock.h"

namespace redwing {

// Computes the heartbeat interval and the suspicion timeout for a group of
// members. The interval grows with the size of the group, so that the number of
// messages per second stays the same.
class HeartbeatPacing {
 public:
  // `min_interval`: lower bound of the interval between two heartbeats to the
  // same member. `interval_per_member`: growth of the interval with each
  // member. `min_timeout`: lower bound of the suspicion timeout.
  HeartbeatPacing(Milliseconds min_interval,
                  Milliseconds interval_per_member,
                  Milliseconds min_timeout)
      : min_interval_(min_interval),
        interval_per_member_(interval_per_member),
        min_timeout_(min_timeout) {}

  // Returns the interval between two heartbeats to the same member of a group
  // of `members`.
  Milliseconds Interval(size_t members) const;
  // Returns the time without a heartbeat after which a member is suspected.
  Milliseconds SuspicionTimeout(size_t members) const;

 private:
  Milliseconds min_interval_;
  Milliseconds interval_per_member_;
  Milliseconds min_timeout_;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_HEARTBEAT_PACING_H_
