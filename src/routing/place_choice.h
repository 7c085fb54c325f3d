#ifndef REDWING_ROUTING_PLACE_CHOICE_H_
#define REDWING_ROUTING_PLACE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/service_times.h"

namespace redwing {

// A target as a candidate for one request.
struct PlaceCandidate {
  int slots = 1;
  // Requests that run there or wait for it.
  double work = 0;
  // The target's times as a multiple of its service's.
  double slowness = 1;
  // Time for the way there and back, in milliseconds.
  double travel = 0;
  // Region, as a number, and the rendezvous score of target and affinity key.
  size_t region = 0;
  uint64_t score = 0;
  // Filled by ChoosePlace(): time until the answer, in milliseconds.
  double expected = 0;
};

// Targets of a region that share the objects of one key. More take the peaks
// of a key that is asked for often; fewer keep more keys warm.
inline constexpr size_t kTargetsPerKey = 2;

// A cold run takes a slot from others for longer: its extra time counts this
// many times.
inline constexpr double kColdWeight = 2;

// Returns the candidate whose answer is expected first; of equal ones the one
// with the highest score. `candidates` must not be empty.
size_t ChoosePlace(const ServiceTimes& times,
                   std::vector<PlaceCandidate>* candidates);

}  // namespace redwing

#endif  // REDWING_ROUTING_PLACE_CHOICE_H_
