#ifndef REDWING_STEERING_ROUTE_H_
#define REDWING_STEERING_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing {

// A class of requests of one service, matched by method and path prefix.
struct Route {
  static constexpr int kDefaultMaxAttempts = 4;

  std::string name;
  std::vector<std::string> methods;
  std::string path_prefix;
  // Anyone may call it, without a key.
  bool open = false;
  // A request that may have run can be sent again.
  bool idempotent = false;
  uint64_t max_request_bytes = 0;
  // Estimate with which a request is admitted to a link.
  uint64_t expected_response_bytes = 0;
  // The caller gets its final answer by then.
  Milliseconds timeout{0};
  // Within this time an answer is worth most; zero when nothing is stated.
  Milliseconds target_latency{0};
  // Targets to which one request may be sent.
  int max_attempts = kDefaultMaxAttempts;
  // Rank under load; 0 goes first.
  int priority = 0;
  // Requests with the same affinity key go to the same target while it has
  // room.
  bool affinity = false;
  // Regions in which requests may run; empty means all.
  std::vector<std::string> home_regions = {};
};

}  // namespace redwing

#endif  // REDWING_STEERING_ROUTE_H_
