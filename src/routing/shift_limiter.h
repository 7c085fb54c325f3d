#ifndef REDWING_ROUTING_SHIFT_LIMITER_H_
#define REDWING_ROUTING_SHIFT_LIMITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds how fast an instance's requests move between regions: from one window
// to the next, at most a part of them may run in another region than before. A
// sudden move would fill regions whose targets do not know the objects asked
// for. Each instance keeps to it by itself, so a region does as a whole.
class ShiftLimiter {
 public:
  static constexpr Milliseconds kWindow{2'000};

  // `max_change`: the part that may move, 0 for no limit.
  explicit ShiftLimiter(double max_change) : max_change_(max_change) {}

  // Tells for each region, by number, whether a request that is given a place
  // now may run there. Regions beyond the list are those that have had none.
  struct Bounds {
    std::vector<bool> allowed;
    bool others_allowed = true;
    bool Allows(size_t region) const {
      return region < allowed.size() ? allowed[region] : others_allowed;
    }
  };
  Bounds BoundsAt(TimePoint now);
  // Counts a request that was given a place in a region.
  void Record(size_t region, TimePoint now) { Count(region, 1, now); }
  // A request that was counted now did not run there after all.
  void TakeBack(size_t region, TimePoint now) { Count(region, -1, now); }

 private:
  static constexpr size_t kSlices = 10;  // of a window
  // Requests by region.
  using Counts = std::vector<double>;

  void Count(size_t region, double requests, TimePoint now);
  // Moves the windows on.
  void Advance(TimePoint now);
  Counts& SliceAt(int64_t number) {
    return slices_[static_cast<size_t>(number) % slices_.size()];
  }

  double max_change_;
  // A ring of the last two windows' slices.
  std::array<Counts, 2 * kSlices> slices_;
  int64_t newest_ = 0;
  // Sums of the newest window's slices and of those of the one before.
  Counts current_;
  Counts before_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SHIFT_LIMITER_H_
