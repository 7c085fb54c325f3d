#ifndef REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_
#define REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds how often state is pulled from peers whose state differs, whatever
// their number: what one of them has, the others mostly have as well.
class PullLimiter {
 public:
  static constexpr Milliseconds kNearInterval{100};
  // Bytes between regions are dear; yet a region whose own readers of the store
  // are cut off hears of changes in this way alone.
  static constexpr Milliseconds kRemoteInterval{250};

  // Returns whether to pull from a peer now, and notes it. `near`: of the own
  // region.
  bool MayPull(bool near, TimePoint now);
  // A pull that failed does not count: the next peer may be asked at once.
  void ForgetPull(bool near) { (near ? near_ : remote_) = TimePoint(); }

 private:
  TimePoint near_;
  TimePoint remote_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_PULL_LIMITER_H_
