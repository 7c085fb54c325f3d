#include "config/internal/pull_limiter.h"

namespace redwing {

bool PullLimiter::MayPull(bool near, TimePoint now) {
  TimePoint& last = near ? near_ : remote_;
  const Milliseconds interval = near ? kNearInterval : kRemoteInterval;
  if (last != TimePoint() && now - last < interval) {
    return false;
  }
  last = now;
  return true;
}

}  // namespace redwing
