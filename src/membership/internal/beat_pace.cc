#include "membership/beat_pace.h"

#include <algorithm>

namespace redwing {

namespace {
// Intervals for which a member may be silent. Others relay its life meanwhile,
// so that one lost or late heartbeat does not count.
constexpr int kSilentIntervals = 2;
}  // namespace

Milliseconds BeatPace::Interval(size_t members) const {
  return std::max(shortest_, per_member_ * static_cast<int64_t>(members));
}

Milliseconds BeatPace::SuspicionTimeout(size_t members) const {
  return std::max(timeout_, kSilentIntervals * Interval(members));
}

}  // namespace redwing
