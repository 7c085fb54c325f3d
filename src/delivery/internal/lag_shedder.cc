#include "delivery/internal/lag_shedder.h"

#include <algorithm>
#include <cmath>

namespace redwing {

namespace {
// Integral gain: change of the shed fraction per second, for each second of lag
// over the target.
constexpr double kIntegralGain = 2;
// Proportional gain: change of the shed fraction for each second by which the
// lag has grown.
constexpr double kProportionalGain = 0.5;
// Largest change of the shed fraction by one measurement.
constexpr double kMaxStep = 0.5;
// Some requests are always accepted: rejected callers retry, and the responses
// show when there is capacity again.
constexpr double kMaxShedFraction = 0.98;
// Number of consecutive measurements over the target before shedding begins.
constexpr int kMinMeasurementsOverTarget = 2;
// Time constant, in seconds, with which the shed fraction decays while the lag
// is below half the target.
constexpr double kDecaySeconds = 0.5;
// Smallest shed fraction; anything less counts as 0.
constexpr double kMinShedFraction = 0.01;
}  // namespace

void LagShedder::RecordLag(Clock::duration lag, TimePoint now) {
  const double seconds =
      measured_at_ == TimePoint() ? 0 : ToSeconds(now - measured_at_);
  measured_at_ = now;
  const double target = ToSeconds(kTargetLag);
  const double measured = std::max(0.0, ToSeconds(lag));
  over_target_ = measured > target ? over_target_ + 1 : 0;
  if (measured < target / 2) {
    shed_fraction_ *= std::exp(-seconds / kDecaySeconds);
  } else if (shed_fraction_ > 0 || over_target_ >= kMinMeasurementsOverTarget) {
    const double step = kIntegralGain * (measured - target) * seconds +
                        kProportionalGain * (measured - last_lag_);
    shed_fraction_ += std::clamp(step, -kMaxStep, kMaxStep);
  }
  shed_fraction_ = std::clamp(shed_fraction_, 0.0, kMaxShedFraction);
  if (shed_fraction_ < kMinShedFraction) {
    shed_fraction_ = 0;
  }
  last_lag_ = measured;
}

}  // namespace redwing
