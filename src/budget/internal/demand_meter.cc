#include "budget/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {
// Time constant of the moving average.
constexpr double kSmoothingSeconds = 0.3;
// Upper bound of the time between two updates.
constexpr double kMaxGapSeconds = 10;
}  // namespace

double DemandMeter::recent() const {
  return rate_ * kSmoothingSeconds + pending_;
}

void DemandMeter::Update(TimePoint now) {
  if (updated_at_ == TimePoint()) {
    updated_at_ = now;
    return;
  }
  const double seconds = std::min(kMaxGapSeconds, ToSeconds(now - updated_at_));
  if (seconds <= 0) {
    return;
  }
  const double keep = std::exp(-seconds / kSmoothingSeconds);
  rate_ = rate_ * keep + pending_ / seconds * (1 - keep);
  pending_ = 0;
  updated_at_ = now;
}

}  // namespace redwing
