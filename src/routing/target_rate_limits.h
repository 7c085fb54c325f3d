#ifndef REDWING_ROUTING_TARGET_RATE_LIMITS_H_
#define REDWING_ROUTING_TARGET_RATE_LIMITS_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

#include "framework/kernel/clock.h"
#include "membership/target_start.h"
#include "routing/target_announcements.h"
#include "routing/target_memory.h"

namespace redwing {

struct TargetRateReport;

// Rate of a target that names no limit, in requests per second.
inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();

// Request rates that targets accept from all instances together, in requests
// per second, as they name them in their responses. A limit ends with a later
// response that names none. Instances announce to each other what they received
// themselves, so that the next slot leader of a target knows its limit before
// it sends the first request.
class TargetRateLimits {
 public:
  // Lower bound on a limit: a target that gets no requests could never end its
  // limit.
  static constexpr double kMinRate = 0.25;

  // Records what a response named. Returns whether it changes the limit.
  bool RecordFromResponse(const TargetStart& target,
                          double rate,
                          TimePoint now);
  // Records what another instance received; an invalid or outdated report is
  // ignored. Returns whether it changes the limit.
  bool RecordFromPeer(const TargetRateReport& report, TimePoint now);
  // Returns the target's limit; kNoRateLimit if it has none.
  double RateOf(const TargetStart& target) const;
  // Returns the reports to put into the next heartbeat, without their waits.
  std::vector<TargetRateReport> NextToAnnounce(TimePoint now);
  // See TargetMemory::Retain().
  void Retain(const std::function<bool(uint64_t)>& is_listed, TimePoint now);

  bool empty() const { return limits_.empty(); }

 private:
  struct Limit {
    double rate = kNoRateLimit;
    // Time of the response that named it.
    TimePoint reported_at;
  };

  bool Record(const TargetStart& target,
              double rate,
              TimePoint reported_at,
              TimePoint now);

  TargetMemory<Limit> limits_;
  // Targets whose limits this instance received in responses.
  TargetAnnouncements announced_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_RATE_LIMITS_H_
