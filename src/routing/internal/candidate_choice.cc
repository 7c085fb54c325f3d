#include "routing/candidate_choice.h"

#include <algorithm>
#include <cstdint>

namespace redwing {

namespace {

// Returns the time in milliseconds for which a request waits until a slot is
// free and the target's rate limit admits it.
double WaitAt(const TargetCandidate& candidate, double run) {
  const double ahead = candidate.load + 1 - candidate.slots;
  return std::max(candidate.rate_wait,
                  ahead <= 0 ? 0 : ahead / candidate.slots * run);
}

// Returns whether the target's rate limit admits a request within `max_wait`
// milliseconds, network round trip included.
bool IsAdmitted(const TargetCandidate& candidate, double max_wait) {
  return candidate.rate_wait <=
         std::max(0.0, max_wait - candidate.round_trip_ms);
}

// Returns the index of the admitted candidate with the highest score in each
// region, by number of the region.
std::vector<size_t> OwnTargets(const std::vector<TargetCandidate>& candidates,
                               double max_wait) {
  constexpr size_t kNone = SIZE_MAX;
  std::vector<size_t> own;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const TargetCandidate& candidate = candidates[i];
    if (candidate.region >= own.size()) {
      own.resize(candidate.region + 1, kNone);
    }
    size_t& best = own[candidate.region];
    if (!IsAdmitted(candidate, max_wait)) {
      continue;
    }
    if (best == kNone || candidate.score > candidates[best].score) {
      best = i;
    }
  }
  return own;
}

}  // namespace

std::optional<size_t> ChooseCandidate(
    const ServiceTimes& times,
    double max_wait,
    std::vector<TargetCandidate>* candidates) {
  // The limit on shifts does not apply to a request that can only run in
  // regions to which requests may not shift.
  const bool bound = std::any_of(
      candidates->begin(), candidates->end(),
      [](const TargetCandidate& candidate) { return candidate.allowed; });
  const bool has_near = std::any_of(candidates->begin(), candidates->end(),
                                    [bound](const TargetCandidate& candidate) {
                                      return candidate.region == kNearRegion &&
                                             (candidate.allowed || !bound);
                                    });
  const std::vector<size_t> own_targets = OwnTargets(*candidates, max_wait);
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t index = 0; index < candidates->size(); ++index) {
    TargetCandidate& candidate = (*candidates)[index];
    const bool is_near = candidate.region == kNearRegion;
    const bool own = own_targets[candidate.region] == index;
    const bool warm = (own && is_near) || candidate.visited;
    const double warm_run = times.warm_ms() * candidate.slowness;
    const double extra =
        warm ? 0 : (times.cold_ms() - times.warm_ms()) * candidate.slowness;
    candidate.wait = WaitAt(candidate, warm_run);
    candidate.expected =
        candidate.round_trip_ms + candidate.wait + warm_run + extra;
    const double cost = candidate.expected + (kColdWeight - 1) * extra;
    const bool free = candidate.wait <= 0;
    const bool wanted = own ? warm || free || !has_near : is_near && free;
    // The network round trip counts against the wait as well.
    const double longest_wait =
        std::max(0.0, max_wait - candidate.round_trip_ms);
    const bool barred = bound && !candidate.allowed;
    if (!wanted || barred || candidate.wait > longest_wait) {
      continue;
    }
    const bool better =
        !best || cost < best_cost ||
        (cost == best_cost && candidate.score > (*candidates)[*best].score);
    if (better) {
      best = index;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace redwing
