#include "routing/place_choice.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <set>

namespace redwing {

namespace {

// Returns the time for which a request waits until a slot is free.
double WaitAt(const PlaceCandidate& candidate, double run) {
  const double ahead = candidate.work + 1 - candidate.slots;
  return ahead <= 0 ? 0 : ahead / candidate.slots * run;
}

struct Best {
  std::optional<size_t> index;
  double cost = 0;
};

std::optional<size_t> Settle(ShiftBound shift,
                             const Best& near,
                             const Best& far) {
  if (shift == ShiftBound::kNearOnly || !far.index) {
    return near.index;
  }
  if (shift == ShiftBound::kFarFirst || !near.index) {
    return far.index;
  }
  return near.cost <= far.cost ? near.index : far.index;
}

}  // namespace

std::optional<size_t> ChoosePlace(const ServiceTimes& times,
                                  double max_wait,
                                  ShiftBound shift,
                                  std::vector<PlaceCandidate>* candidates) {
  std::vector<size_t> order(candidates->size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [candidates](size_t a, size_t b) {
    return (*candidates)[a].score > (*candidates)[b].score;
  });
  std::set<size_t> regions_seen;
  // Of the near candidates, and of all others.
  std::array<Best, 2> bests;
  for (const size_t index : order) {
    PlaceCandidate& candidate = (*candidates)[index];
    const bool is_near = candidate.region == kNearRegion;
    const bool own = regions_seen.insert(candidate.region).second;
    const bool warm = (own && is_near) || candidate.visited;
    const double warm_run = times.warm_ms() * candidate.slowness;
    const double extra =
        warm ? 0 : (times.cold_ms() - times.warm_ms()) * candidate.slowness;
    candidate.wait = WaitAt(candidate, warm_run);
    candidate.expected = candidate.travel + candidate.wait + warm_run + extra;
    const double cost = candidate.expected + (kColdWeight - 1) * extra;
    const bool allowed = own || (is_near && candidate.wait <= 0);
    // The way there takes its time as well.
    if (!allowed ||
        candidate.wait > std::max(0.0, max_wait - candidate.travel)) {
      continue;
    }
    Best& best = bests[is_near ? 0 : 1];
    if (!best.index || cost < best.cost) {
      best = {index, cost};
    }
  }
  return Settle(shift, bests[0], bests[1]);
}

}  // namespace redwing
