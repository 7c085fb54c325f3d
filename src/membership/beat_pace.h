#ifndef REDWING_MEMBERSHIP_BEAT_PACE_H_
#define REDWING_MEMBERSHIP_BEAT_PACE_H_

#include <cstddef>

#include "framework/kernel/clock.h"

namespace redwing {

// How often heartbeats go to each of a number of members, and how long one of
// them may be silent. With many members each of them hears less often, so that
// the messages a second stay the same.
class BeatPace {
 public:
  // `shortest`: between two heartbeats to the same member. `per_member`: what
  // the interval grows by with each member. `timeout`: shortest silence after
  // which a member is suspect.
  BeatPace(Milliseconds shortest, Milliseconds per_member, Milliseconds timeout)
      : shortest_(shortest), per_member_(per_member), timeout_(timeout) {}

  Milliseconds Interval(size_t members) const;
  // A member is suspect after this silence.
  Milliseconds SuspicionTimeout(size_t members) const;

 private:
  Milliseconds shortest_;
  Milliseconds per_member_;
  Milliseconds timeout_;
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_BEAT_PACE_H_
