#include "routing/service_times.h"

#include <algorithm>

namespace redwing {

namespace {
// The weight of a sample falls with their number to one in this many.
constexpr int kSamplesOfMemory = 30;
// Warm run time in milliseconds, assumed before the first run.
constexpr double kAssumedWarm = 100;
// Ratio of cold to warm run times, assumed until both kinds were seen: a cold
// run takes several times as long.
constexpr double kAssumedRatio = 3;
}  // namespace

void ServiceTimes::Average::Add(double sample) {
  samples = std::min(samples + 1, kSamplesOfMemory);
  value += (sample - value) / samples;
}

void ServiceTimes::Learn(bool warm, Milliseconds time) {
  (warm ? warm_ : cold_).Add(static_cast<double>(time.count()));
}

double ServiceTimes::warm_ms() const {
  if (warm_.samples > 0) {
    return warm_.value;
  }
  return cold_.samples > 0 ? cold_.value / kAssumedRatio : kAssumedWarm;
}

double ServiceTimes::cold_ms() const {
  return cold_.samples > 0 ? std::max(cold_.value, warm_ms())
                           : warm_ms() * kAssumedRatio;
}

}  // namespace redwing
