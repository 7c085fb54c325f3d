#ifndef REDWING_FRAMEWORK_METRICS_HISTOGRAM_H_
#define REDWING_FRAMEWORK_METRICS_HISTOGRAM_H_

#include <array>
#include <chrono>
#include <cstdint>

namespace redwing {

// Counts of durations by fixed upper bounds, as the Prometheus text format
// has them. Written and read on the event loop's thread only.
class Histogram {
 public:
  // Upper bounds in milliseconds; a last bucket has none.
  static constexpr std::array<int64_t, 14> kBoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10'000, 30'000};

  void Record(std::chrono::milliseconds duration);

  // Durations up to each bound, and all.
  const std::array<uint64_t, kBoundsMs.size() + 1>& counts() const {
    return counts_;
  }
  int64_t sum_ms() const { return sum_ms_; }

 private:
  std::array<uint64_t, kBoundsMs.size() + 1> counts_{};
  int64_t sum_ms_ = 0;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_METRICS_HISTOGRAM_H_
