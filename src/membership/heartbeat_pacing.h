#ifndef REDWING_MEMBERSHIP_HEARTBEAT_PACING_H_
#define REDWING_MEMBERSHIP_HEARTBEAT_PACING_H_

#include <cstddef>

#include "framework/kernel/clock.h"

namespace redwing {

// How often heartbeats go to each of a number of members, and how long one of
// them may be silent. With many members each of them hears less often, so that
// the messages a second stay the same.
class HeartbeatPacing {
 public:
  // `shortest`: between two heartbeats to the same member.
  // `interval_per_member`: what the interval grows by with each member.
  // `timeout`: shortest silence after which a member is suspect.
  HeartbeatPacing(Milliseconds min_interval,
                  Milliseconds interval_per_member,
                  Milliseconds min_timeout)
      : min_interval_(min_interval),
        interval_per_member_(interval_per_member),
        min_timeout_(min_timeout) {}

  Milliseconds Interval(size_t members) const;
  // A member is suspect after this silence.
  Milliseconds SuspicionTimeout(size_t members) const;

 private:
  Milliseconds min_interval_;
  Milliseconds interval_per_member_;
  Milliseconds min_timeout_;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_HEARTBEAT_PACING_H_
