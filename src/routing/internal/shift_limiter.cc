#include "routing/shift_limiter.h"

#include <algorithm>

namespace redwing {

namespace {
// A part of fewer requests than these says little.
constexpr double kLeastRequests = 8;
}  // namespace

ShiftBound ShiftLimiter::BoundAt(TimePoint now) {
  if (max_change_ <= 0) {
    return ShiftBound::kAnywhere;
  }
  Advance(now);
  const Count before = Sum(kSlices);
  if (before.all < kLeastRequests) {
    return ShiftBound::kAnywhere;
  }
  const Count current = Sum(0);
  const double part = before.far / before.all;
  const double with_this = current.all + 1;
  // One request is always allowed, else few requests could never move.
  const double most = std::max(1.0, (part + max_change_) * with_this);
  if (current.far + 1 > most) {
    return ShiftBound::kNearOnly;
  }
  const double least = (part - max_change_) * with_this - 1;
  return current.far < least ? ShiftBound::kFarFirst : ShiftBound::kAnywhere;
}

void ShiftLimiter::Record(bool far, TimePoint now) {
  Advance(now);
  Count& slice = slices_[static_cast<size_t>(newest_) % slices_.size()];
  slice.all += 1;
  slice.far += far ? 1 : 0;
}

void ShiftLimiter::Advance(TimePoint now) {
  const int64_t slice =
      now.time_since_epoch() / (kWindow / static_cast<int64_t>(kSlices));
  const int64_t passed =
      std::min<int64_t>(slice - newest_, static_cast<int64_t>(slices_.size()));
  for (int64_t i = 0; i < passed; ++i) {
    slices_[static_cast<size_t>(slice - i) % slices_.size()] = {};
  }
  newest_ = std::max(newest_, slice);
}

ShiftLimiter::Count ShiftLimiter::Sum(size_t first) const {
  Count sum;
  for (size_t i = first; i < first + kSlices; ++i) {
    const int64_t slice = newest_ - static_cast<int64_t>(i);
    if (slice < 0) {
      break;
    }
    const Count& count = slices_[static_cast<size_t>(slice) % slices_.size()];
    sum.all += count.all;
    sum.far += count.far;
  }
  return sum;
}

}  // namespace redwing
