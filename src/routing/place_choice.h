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
  // Rendezvous score of target and affinity key.
  uint64_t score = 0;
  // In the region of the request's entry, where the key's own target is.
  bool near = false;
  // The key was sent there lately.
  bool visited = false;
  // Filled by ChoosePlace(): time until the answer, in milliseconds.
  double expected = 0;
};

// A cold run takes a slot from others for longer: its extra time counts this
// many times.
inline constexpr double kColdWeight = 2;

// Returns the candidate whose answer is expected first; of equal ones the one
// with the highest score. `candidates` must not be empty.
size_t ChoosePlace(const ServiceTimes& times,
                   std::vector<PlaceCandidate>* candidates);

}  // namespace redwing

#endif  // REDWING_ROUTING_PLACE_CHOICE_H_
