#ifndef REDWING_ROUTING_SHIFT_LIMITER_H_
#define REDWING_ROUTING_SHIFT_LIMITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing {

// Limits how fast requests of a region shift between regions: from one window
// to the next, at most a given fraction may run in another region than before.
// A sudden shift would fill regions whose targets are cold for the requested
// objects. The instances of a region report their placements to each other, so
// that the limit holds for all of them together even if each has few requests.
//
// There are two checks. One compares the newest window with the one before. The
// other sums up the requests beyond the former distribution (a CUSUM chart,
// Page 1954), so that the limit also holds for the few requests that arrive
// right after a heavy load has ended.
class ShiftLimiter {
 public:
  static constexpr Milliseconds kWindow{2'000};

  // `max_change` is the fraction of the requests that may shift from one window
  // to the next; 0 means no limit.
  explicit ShiftLimiter(double max_change) : max_change_(max_change) {}

  // Whether a request that is placed now may run in each region, by the
  // region's number. `others_allowed` holds for regions beyond the list, which
  // have had no requests.
  struct Bounds {
    std::vector<bool> allowed;
    bool others_allowed = true;
    bool Allows(size_t region) const {
      return region < allowed.size() ? allowed[region] : others_allowed;
    }
  };
  Bounds BoundsAt(TimePoint now);
  // Counts requests placed in a region, by this instance or by another one of
  // its region.
  void Record(size_t region, TimePoint now, int requests = 1) {
    Count(region, requests, now);
  }
  // Removes a request that was counted but did not run in the region.
  void Retract(size_t region, TimePoint now) { Count(region, -1, now); }

 private:
  static constexpr size_t kSlices = 10;  // of a window
  // Number of requests by number of the region.
  using Counts = std::vector<double>;

  void Count(size_t region, double requests, TimePoint now);
  // Returns the surplus after `requests` more requests in a region.
  Counts SurplusAfter(size_t region, double requests) const;
  // Advances the windows to the slice of `now`.
  void Advance(TimePoint now);
  Counts& SliceAt(int64_t number) {
    return slices_[static_cast<size_t>(number) % slices_.size()];
  }

  double max_change_;
  // Ring buffer of the slices of the last two windows.
  std::array<Counts, 2 * kSlices> slices_;
  int64_t newest_ = 0;
  // Sums over the slices of the newest window and of the one before.
  Counts current_;
  Counts before_;
  // Requests by region beyond the previous window's distribution and the
  // fraction that may shift; never below 0.
  Counts surplus_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SHIFT_LIMITER_H_
