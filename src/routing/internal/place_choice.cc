#include "routing/place_choice.h"

#include <algorithm>
#include <numeric>

namespace redwing {

namespace {

// Returns the time for which a request waits until a slot is free.
double WaitAt(const PlaceCandidate& candidate, double run) {
  const double ahead = candidate.work + 1 - candidate.slots;
  return ahead <= 0 ? 0 : ahead / candidate.slots * run;
}

}  // namespace

size_t ChoosePlace(const ServiceTimes& times,
                   std::vector<PlaceCandidate>* candidates) {
  std::vector<size_t> order(candidates->size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [candidates](size_t a, size_t b) {
    return (*candidates)[a].score > (*candidates)[b].score;
  });
  bool own_seen = false;
  size_t best = order.front();
  double best_cost = 0;
  for (const size_t index : order) {
    PlaceCandidate& candidate = (*candidates)[index];
    const bool own = candidate.near && !own_seen;
    own_seen = own_seen || candidate.near;
    const bool warm = own || candidate.visited;
    const double warm_run = times.warm_ms() * candidate.slowness;
    const double extra =
        warm ? 0 : (times.cold_ms() - times.warm_ms()) * candidate.slowness;
    candidate.expected =
        candidate.travel + WaitAt(candidate, warm_run) + warm_run + extra;
    const double cost = candidate.expected + (kColdWeight - 1) * extra;
    if (index == order.front() || cost < best_cost) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace redwing
