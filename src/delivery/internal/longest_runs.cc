#include "delivery/internal/longest_runs.h"

#include <algorithm>

namespace redwing {

LongestRuns::Times LongestRuns::Aged(Times times, TimePoint now) {
  if (now - times.begun < kMemory) {
    return times;
  }
  const bool recent = now - times.begun < 2 * kMemory;
  return {now, Milliseconds(0), recent ? times.current : Milliseconds(0)};
}

void LongestRuns::Record(const std::string& route,
                         Milliseconds run,
                         TimePoint now) {
  Times& times = times_[route];
  times = Aged(times, now);
  times.current = std::max(times.current, run);
}

Milliseconds LongestRuns::Longest(const std::string& route,
                                  TimePoint now) const {
  const auto found = times_.find(route);
  if (found == times_.end()) {
    return Milliseconds(0);
  }
  const Times times = Aged(found->second, now);
  return std::max(times.current, times.previous);
}

}  // namespace redwing
