#ifndef REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_
#define REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds how often state is pulled from peers whose state differs, whatever
// their number: what one of them has, the others mostly have as well.
class PullLimiter {
 public:
  static constexpr Milliseconds kSameRegionInterval{100};
  // Bytes between regions are dear; yet a region whose own readers of the store
  // are cut off hears of changes in this way alone.
  static constexpr Milliseconds kOtherRegionInterval{250};

  // Returns whether to pull from a peer now, and notes it. `near`: of the own
  // region.
  bool MayPull(bool same_region, TimePoint now);
  // A pull that failed does not count: the next peer may be asked at once.
  void DiscardFailedPull(bool same_region) {
    (same_region ? last_same_region_pull_ : last_other_region_pull_) =
        TimePoint();
  }

 private:
  TimePoint last_same_region_pull_;
  TimePoint last_other_region_pull_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_
