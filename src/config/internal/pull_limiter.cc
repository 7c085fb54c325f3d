#include "config/internal/pull_limiter.h"

namespace redwing {

bool PullLimiter::MayPull(bool same_region, TimePoint now) {
  TimePoint& last =
      same_region ? last_same_region_pull_ : last_other_region_pull_;
  const Milliseconds interval =
      same_region ? kSameRegionInterval : kOtherRegionInterval;
  if (last != TimePoint() && now - last < interval) {
    return false;
  }
  last = now;
  return true;
}

}  // namespace redwing
