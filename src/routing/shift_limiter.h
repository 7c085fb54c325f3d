#ifndef REDWING_ROUTING_SHIFT_LIMITER_H_
#define REDWING_ROUTING_SHIFT_LIMITER_H_

#include <array>
#include <cstdint>

#include "framework/kernel/clock.h"

namespace redwing {

// Where the next request may run so that traffic moves little by little.
enum class ShiftBound {
  kAnywhere,
  // Only in the entry's own region.
  kNearOnly,
  // In another region if one has room.
  kFarFirst,
};

// Bounds how fast requests move between the own region and others: the part
// that runs elsewhere changes by at most `max_change` from one window to the
// next. A sudden move would fill regions whose targets do not know the objects
// asked for, and empty the ones that do. Each instance keeps to it by itself,
// so a region does as a whole.
class ShiftLimiter {
 public:
  static constexpr Milliseconds kWindow{2'000};

  // 0 for no limit.
  explicit ShiftLimiter(double max_change) : max_change_(max_change) {}

  ShiftBound BoundAt(TimePoint now);
  // Counts a request that was given a place.
  void Record(bool far, TimePoint now);

 private:
  static constexpr size_t kSlices = 10;  // of a window
  struct Count {
    double all = 0;
    double far = 0;
  };

  void Advance(TimePoint now);
  // Sums the slices from `first` on, as of the last Advance(); the newest
  // window begins at 0, the one before it at kSlices.
  Count Sum(size_t first) const;

  double max_change_;
  // A ring of the last two windows' slices.
  std::array<Count, 2 * kSlices> slices_{};
  int64_t newest_ = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SHIFT_LIMITER_H_
