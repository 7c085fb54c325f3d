#include "membership/beat_pace.h"

#include <algorithm>

namespace redwing {

namespace {
// Heartbeats that may get lost or be late without a member becoming suspect.
constexpr int kMissedBeats = 4;
}  // namespace

Milliseconds BeatPace::Interval(size_t members) const {
  return std::max(shortest_, per_member_ * static_cast<int64_t>(members));
}

Milliseconds BeatPace::SuspicionTimeout(size_t members) const {
  return std::max(timeout_, kMissedBeats * Interval(members));
}

}  // namespace redwing
