#ifndef REDWING_DELIVERY_INTERNAL_LONGEST_RUNS_H_
#define REDWING_DELIVERY_INTERNAL_LONGEST_RUNS_H_

#include <map>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Tracks, for each route, the longest of the requests that were answered
// recently. A stopping instance accepts only requests that end in time even if
// they last as long.
class LongestRuns {
 public:
  // A run is remembered for at least this time, and for at most twice as long.
  static constexpr Milliseconds kMemory{60'000};

  void Record(const std::string& route, Milliseconds run, TimePoint now);
  // Returns 0 if no request of the route was answered recently.
  Milliseconds Longest(const std::string& route, TimePoint now) const;

 private:
  struct Times {
    TimePoint begun;
    Milliseconds current{0};
    Milliseconds previous{0};
  };

  // Returns the times as of `now`, without those that are too old.
  static Times Aged(Times times, TimePoint now);

  std::map<std::string, Times> times_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_LONGEST_RUNS_H_
