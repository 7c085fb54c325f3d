#ifndef REDWING_ROUTING_SLOT_HISTORY_H_
#define REDWING_ROUTING_SLOT_HISTORY_H_

#include <algorithm>
#include <map>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Detects that a region has recently lost many slots of a service. Requests
// then have to shift to other regions without a limit on the rate.
class SlotHistory {
 public:
  // Returns whether `slots` is clearly below the peak of the retention period.
  bool HasDropped(const std::string& service, int slots, TimePoint now) {
    Peak& peak = peaks_[service];
    if (slots >= peak.slots || now - peak.seen > kRetention) {
      peak = {slots, now};
    }
    return slots < kDropThreshold * peak.slots;
  }

 private:
  // Time that a queue formed during the loss takes to drain.
  static constexpr Milliseconds kRetention{10'000};
  // Smaller drops are ignored: single targets that leave and return are not a
  // loss of capacity.
  static constexpr double kDropThreshold = 0.9;

  struct Peak {
    int slots = 0;
    // Time at which this peak was seen.
    TimePoint seen;
  };

  std::map<std::string, Peak> peaks_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SLOT_HISTORY_H_
