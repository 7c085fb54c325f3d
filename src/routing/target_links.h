#ifndef REDWING_ROUTING_TARGET_LINKS_H_
#define REDWING_ROUTING_TARGET_LINKS_H_

#include <cstddef>

#include "framework/kernel/clock.h"

namespace redwing {

// Whether this instance can open connections to targets. A single target that
// cannot be reached says nothing about the instance's own links; only a check
// of several targets at once does. While the links are lost, other instances of
// the region lead the targets, and the checks go on until one succeeds.
class TargetLinks {
 public:
  // Targets that one check connects to.
  static constexpr size_t kCheckedTargets = 3;
  // Upper bound on the duration of a check. Longer than a round trip within a
  // region, shorter than the first retransmission of a lost packet.
  static constexpr Milliseconds kCheckTimeout{500};
  // Minimum time between the starts of checks.
  static constexpr Milliseconds kCheckInterval{500};

  bool up() const { return up_; }
  // Records that a target could not be reached, or that a connection to it
  // broke before it responded.
  void RecordFailure() { suspected_ = true; }
  // Returns whether a check is to be started now.
  bool IsCheckDue(TimePoint now) const;
  void BeginCheck(TimePoint now);
  // Records the result of a check: `reached` of the targets accepted a
  // connection. Returns whether up() has changed.
  bool EndCheck(size_t reached);

 private:
  bool up_ = true;
  bool suspected_ = false;
  bool checking_ = false;
  TimePoint checked_at_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_LINKS_H_
