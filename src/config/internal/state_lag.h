#ifndef REDWING_CONFIG_INTERNAL_STATE_LAG_H_
#define REDWING_CONFIG_INTERNAL_STATE_LAG_H_

#include <cstdint>
#include <optional>

#include "framework/kernel/clock.h"

namespace redwing {

// Measures for how long an instance has known that peers hold a newer state
// than its own. A change that nobody of the neighbourhood holds does not show
// here, so that a late reader can be told from a late pull.
class StateLag {
 public:
  // A lag that lasts for this long is worth a line, and one more each time it
  // has lasted as long again.
  static constexpr Milliseconds kLogInterval{1'000};

  // Takes the sum of revisions that a peer has told, and the own one. Returns
  // the lag when it is to be logged.
  std::optional<Milliseconds> RecordAdvertised(uint64_t advertised_sum,
                                               uint64_t local_sum,
                                               TimePoint now);
  // Takes the own sum of revisions after it has grown. Returns how long the
  // state had been behind when this brings it to the newest told; nothing
  // otherwise.
  std::optional<Milliseconds> RecordApplied(uint64_t local_sum, TimePoint now);

 private:
  uint64_t newest_advertised_ = 0;
  std::optional<TimePoint> behind_since_;
  TimePoint logged_at_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_STATE_LAG_H_
