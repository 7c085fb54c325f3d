#include "membership/heartbeat_pacing.h"

#include <algorithm>

namespace redwing {

namespace {
// Minimum number of heartbeat intervals in the suspicion timeout. Other members
// relay heartbeats meanwhile, so that one lost or late heartbeat has no effect.
constexpr int kSuspicionIntervals = 2;
}  // namespace

Milliseconds HeartbeatPacing::Interval(size_t members) const {
  return std::max(min_interval_,
                  interval_per_member_ * static_cast<int64_t>(members));
}

Milliseconds HeartbeatPacing::SuspicionTimeout(size_t members) const {
  return std::max(min_timeout_, kSuspicionIntervals * Interval(members));
}

}  // namespace redwing
