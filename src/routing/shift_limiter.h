#ifndef REDWING_ROUTING_SHIFT_LIMITER_H_
#define REDWING_ROUTING_SHIFT_LIMITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds how fast the requests of a region move between regions: from one
// window to the next, at most a part of them may run in another region than
// before. A sudden move would fill regions whose targets do not know the
// objects asked for. Instances of a region tell each other what they placed, so
// that many with few requests each keep the bound together.
//
// Two checks: one compares the newest window with the one before; the other
// sums up what runs beyond the former distribution (a CUSUM chart, Page 1954),
// so that the bound also holds for the few requests that come when a heavy
// load has just ended.
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
  // Counts requests that were given a place in a region, here or by another
  // instance of the own region.
  void Record(size_t region, TimePoint now, int requests = 1) {
    Count(region, requests, now);
  }
  // A request that was counted now did not run there after all.
  void TakeBack(size_t region, TimePoint now) { Count(region, -1, now); }

 private:
  static constexpr size_t kSlices = 10;  // of a window
  // Requests by region.
  using Counts = std::vector<double>;

  void Count(size_t region, double requests, TimePoint now);
  // What the surplus becomes with more requests in a region.
  Counts SurplusAfter(size_t region, double requests) const;
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
  // Requests by region beyond the distribution of the window before and what
  // may move, never below 0.
  Counts surplus_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SHIFT_LIMITER_H_
