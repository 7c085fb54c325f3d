#include "routing/place_choice.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace redwing {

namespace {

// Returns the time for which a request waits until a slot is free.
double WaitAt(const PlaceCandidate& candidate, double run) {
  const double ahead = candidate.work + 1 - candidate.slots;
  return ahead <= 0 ? 0 : ahead / candidate.slots * run;
}

}  // namespace

std::optional<size_t> ChoosePlace(const ServiceTimes& times,
                                  double max_wait,
                                  std::vector<PlaceCandidate>* candidates) {
  std::vector<size_t> order(candidates->size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [candidates](size_t a, size_t b) {
    return (*candidates)[a].score > (*candidates)[b].score;
  });
  // Where a request can run only in regions to which traffic may not move, it
  // has no other place.
  const bool bound = std::any_of(
      candidates->begin(), candidates->end(),
      [](const PlaceCandidate& candidate) { return candidate.allowed; });
  std::set<size_t> regions_seen;
  std::optional<size_t> best;
  double best_cost = 0;
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
    const bool wanted = own || (is_near && candidate.wait <= 0);
    // The way there takes its time as well.
    const double longest_wait = std::max(0.0, max_wait - candidate.travel);
    const bool barred = bound && !candidate.allowed;
    if (!wanted || barred || candidate.wait > longest_wait) {
      continue;
    }
    if (!best || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace redwing
