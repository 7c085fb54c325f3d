#include "config/internal/state_lag.h"

#include <algorithm>

namespace redwing {

std::optional<Milliseconds> StateLag::RecordAdvertised(uint64_t advertised_sum,
                                                       uint64_t local_sum,
                                                       TimePoint now) {
  newest_advertised_ = std::max(newest_advertised_, advertised_sum);
  if (newest_advertised_ <= local_sum) {
    return std::nullopt;
  }
  if (!behind_since_) {
    behind_since_ = now;
    logged_at_ = now;
  }
  if (now - logged_at_ < kLogInterval) {
    return std::nullopt;
  }
  logged_at_ = now;
  return std::chrono::duration_cast<Milliseconds>(now - *behind_since_);
}

std::optional<Milliseconds> StateLag::RecordApplied(uint64_t local_sum,
                                                    TimePoint now) {
  if (!behind_since_ || local_sum < newest_advertised_) {
    return std::nullopt;
  }
  const Milliseconds lag =
      std::chrono::duration_cast<Milliseconds>(now - *behind_since_);
  behind_since_.reset();
  return lag;
}

}  // namespace redwing
