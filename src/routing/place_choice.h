#ifndef REDWING_ROUTING_PLACE_CHOICE_H_
#define REDWING_ROUTING_PLACE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "routing/service_times.h"

namespace redwing {

// The number of the region of a request's entry.
inline constexpr size_t kNearRegion = 0;

// A target as a candidate for one request.
struct PlaceCandidate {
  int slots = 1;
  // Requests that run there or wait for it.
  double work = 0;
  // The target's times as a multiple of its service's.
  double slowness = 1;
  // Time for the way there and back, in milliseconds.
  double travel = 0;
  // Rendezvous score of target and affinity key.
  uint64_t score = 0;
  // Region, as a number.
  size_t region = kNearRegion;
  // The key was sent there lately.
  bool visited = false;
  // Traffic may move to the region, or stay there. Where that holds for no
  // candidate, it binds none.
  bool allowed = true;
  // Filled by ChoosePlace(): time until a slot is free and until the answer, in
  // milliseconds.
  double wait = 0;
  double expected = 0;
};

// A cold run takes a slot from others for longer: its extra time counts this
// many times.
inline constexpr double kColdWeight = 2;

// A key has one own target in each region: the one with the highest score. It
// waits for the one of the entry's region, and for one elsewhere that it has
// visited, or if the entry's region has no target for it; it goes cold to the
// own target of another region, or to another target of the entry's, only where
// a slot is free: under load, keys that wander turn targets cold and cost more
// slots than they find.
//
// Returns the index of the candidate whose answer is expected first, of those
// that are allowed and have a slot within `max_wait` milliseconds; of equal
// ones the one with the highest score. Nothing when no candidate has a slot by
// then.
std::optional<size_t> ChoosePlace(const ServiceTimes& times,
                                  double max_wait,
                                  std::vector<PlaceCandidate>* candidates);

}  // namespace redwing

#endif  // REDWING_ROUTING_PLACE_CHOICE_H_
