#ifndef REDWING_ROUTING_CANDIDATE_CHOICE_H_
#define REDWING_ROUTING_CANDIDATE_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "routing/service_times.h"

namespace redwing {

// Number of the region of the entry instance that received the request.
inline constexpr size_t kNearRegion = 0;

// A target that one request could be sent to.
struct TargetCandidate {
  int slots = 1;
  // Requests in flight at the target or waiting for it.
  double load = 0;
  // Run time at this target as a multiple of the service's usual run time.
  double slowness = 1;
  // Network round-trip time to the target, in milliseconds.
  double round_trip_ms = 0;
  // Whether the target named a rate limit, and the time until it admits the
  // request, in milliseconds.
  bool rate_limited = false;
  double rate_wait = 0;
  // Rendezvous hash score of the target and the affinity key.
  uint64_t score = 0;
  // Number of the target's region.
  size_t region = kNearRegion;
  // Whether this instance recently sent a request with the same key to the
  // target.
  bool visited = false;
  // Whether requests may shift to the target's region or stay there. Ignored if
  // it is false for all candidates.
  bool allowed = true;
  // Filled in by ChooseCandidate(): expected time until the request can be
  // sent, and until the response arrives, in milliseconds.
  double wait = 0;
  double expected = 0;
};

// Factor for the extra run time of a cold run, which takes a slot from other
// requests for longer.
inline constexpr double kColdWeight = 2;

// Chooses the candidate with the lowest expected cost that is allowed and has a
// slot within `max_wait` milliseconds. The cost is the time until the response,
// with the extra time of a cold run counted kColdWeight times. The highest
// score wins among equal ones. Returns its index, or std::nullopt if no
// candidate has a slot in time.
//
// In each region a key has one own target: the one with the highest score of
// those whose rate limit admits the request in time. A
// request waits for the own target of the entry instance's region. It waits for
// an own target elsewhere only if the key has visited it or the entry
// instance's region has no target that it may use. It runs cold at another
// region's own target, or at another target of the entry instance's region,
// only if a slot is free there: under load, keys that change targets make those
// targets cold and cost more slots than they gain.
std::optional<size_t> ChooseCandidate(const ServiceTimes& times,
                                      double max_wait,
                                      std::vector<TargetCandidate>* candidates);

}  // namespace redwing

#endif  // REDWING_ROUTING_CANDIDATE_CHOICE_H_
