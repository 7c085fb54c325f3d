#include "config/internal/state_lag.h"

#include <algorithm>

namespace redwing {

std::optional<Milliseconds> StateLag::NoteTold(uint64_t told_sum,
                                               uint64_t held_sum,
                                               TimePoint now) {
  newest_told_ = std::max(newest_told_, told_sum);
  if (newest_told_ <= held_sum) {
    return std::nullopt;
  }
  if (!behind_since_) {
    behind_since_ = now;
    logged_at_ = now;
  }
  if (now - logged_at_ < kNoticed) {
    return std::nullopt;
  }
  logged_at_ = now;
  return std::chrono::duration_cast<Milliseconds>(now - *behind_since_);
}

std::optional<Milliseconds> StateLag::NoteHeld(uint64_t held_sum,
                                               TimePoint now) {
  if (!behind_since_ || held_sum < newest_told_) {
    return std::nullopt;
  }
  const Milliseconds lag =
      std::chrono::duration_cast<Milliseconds>(now - *behind_since_);
  behind_since_.reset();
  return lag;
}

}  // namespace redwing
