#ifndef REDWING_CONFIG_INTERNAL_STATE_LAG_H_
#define REDWING_CONFIG_INTERNAL_STATE_LAG_H_

#include <cstdint>
#include <optional>

#include "framework/kernel/clock.h"

namespace redwing {

// Measures how long an instance has known that peers have newer state than its
// own. Changes that no peer has advertised yet are not counted, so that a late
// read of the store can be distinguished from a late pull.
class StateLag {
 public:
  // A lag is logged once it lasts this long, and again after each further
  // interval.
  static constexpr Milliseconds kLogInterval{1'000};

  // Compares the sum of revisions that a peer has advertised with the local
  // sum. Returns the lag if it should be logged now, std::nullopt otherwise.
  std::optional<Milliseconds> RecordAdvertised(uint64_t advertised_sum,
                                               uint64_t local_sum,
                                               TimePoint now);
  // Records the local sum of revisions after it has increased. Returns the
  // duration of the lag if the state has now caught up with the newest
  // advertised sum, std::nullopt otherwise.
  std::optional<Milliseconds> RecordApplied(uint64_t local_sum, TimePoint now);

 private:
  uint64_t newest_advertised_ = 0;
  // std::nullopt while the state is up to date.
  std::optional<TimePoint> behind_since_;
  TimePoint logged_at_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_STATE_LAG_H_
