#ifndef REDWING_STEERING_ROUTE_H_
#define REDWING_STEERING_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing {

// A class of requests of one service, matched by method and path prefix.
struct Route {
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
  Milliseconds timeout{0};
};

}  // namespace redwing

#endif  // REDWING_STEERING_ROUTE_H_
