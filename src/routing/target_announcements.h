#ifndef REDWING_ROUTING_TARGET_ANNOUNCEMENTS_H_
#define REDWING_ROUTING_TARGET_ANNOUNCEMENTS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "framework/kernel/clock.h"
#include "membership/target_start.h"

namespace redwing {

// Targets of which this instance received something in a response that it
// announces to other instances with its heartbeats.
class TargetAnnouncements {
 public:
  // For how long a target is announced after its last response.
  static constexpr std::chrono::seconds kAnnounceFor{30};
  // Upper bound on targets in one heartbeat.
  static constexpr size_t kMaxPerMessage = 16;

  // Announces a target from now on.
  void Add(const TargetStart& target, TimePoint now);
  // Returns the targets to put into the next heartbeat. If there are more than
  // kMaxPerMessage, successive heartbeats carry them in rotation.
  std::vector<TargetStart> Next(TimePoint now);

 private:
  struct Announced {
    TargetStart target;
    TimePoint since;
  };

  // Least recently added first.
  std::deque<Announced> announced_;
  size_t next_ = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_ANNOUNCEMENTS_H_
