#include "delivery/internal/lag_shedder.h"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {
// Change of the part for each second of lag beyond the target, a second.
constexpr double kIntegral = 2;
// Change of the part for each second by which the lag has grown.
constexpr double kProportional = 0.5;
// Most that one measurement adds.
constexpr double kLargestStep = 0.5;
// Some requests are always taken on: callers that are refused come back, and
// their answers show when there is room.
constexpr double kMaxPart = 0.98;
// A lag above the target counts once it has been measured this often in a row.
constexpr int kMeasurements = 2;
// Below half the target the part falls by this time constant.
constexpr double kFallSeconds = 0.5;
// Below this part nothing is refused.
constexpr double kLeastPart = 0.01;
}  // namespace

void LagShedder::NoteLag(Clock::duration lag, TimePoint now) {
  const double seconds =
      measured_at_ == TimePoint() ? 0 : ToSeconds(now - measured_at_);
  measured_at_ = now;
  const double target = ToSeconds(kTargetLag);
  const double measured = std::max(0.0, ToSeconds(lag));
  over_target_ = measured > target ? over_target_ + 1 : 0;
  if (measured < target / 2) {
    part_ *= std::exp(-seconds / kFallSeconds);
  } else if (part_ > 0 || over_target_ >= kMeasurements) {
    const double step = kIntegral * (measured - target) * seconds +
                        kProportional * (measured - last_lag_);
    part_ += std::clamp(step, -kLargestStep, kLargestStep);
  }
  part_ = std::clamp(part_, 0.0, kMaxPart);
  if (part_ < kLeastPart) {
    part_ = 0;
  }
  last_lag_ = measured;
}

}  // namespace redwing
