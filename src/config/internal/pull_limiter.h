#ifndef REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_
#define REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Limits the rate of state pulls from peers whose state differs, independent of
// the number of peers. Peers mostly have the same newer entries, so one pull
// usually replaces many.
class PullLimiter {
 public:
  static constexpr Milliseconds kSameRegionInterval{100};
  // Traffic between regions is expensive, but a region whose watchers cannot
  // reach the store receives changes only through these pulls.
  static constexpr Milliseconds kOtherRegionInterval{250};

  // Returns whether a pull from a peer is allowed now, and if so records it.
  // `same_region`: whether the peer is in the region of this instance.
  bool MayPull(bool same_region, TimePoint now);
  // Discards a pull that failed, so that the next peer may be pulled from
  // immediately.
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
