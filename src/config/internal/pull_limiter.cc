#include "config/internal/pull_limiter.h"

namespace redwing {

bool PullLimiter::MayPull(const std::string& peer, bool near, TimePoint now) {
  TimePoint& last = near ? near_[peer] : remote_;
  const Milliseconds interval = near ? kNearInterval : kRemoteInterval;
  if (last != TimePoint() && now - last < interval) {
    return false;
  }
  last = now;
  return true;
}

}  // namespace redwing
