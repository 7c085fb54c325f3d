#ifndef REDWING_STEERING_TARGET_H_
#define REDWING_STEERING_TARGET_H_

#include <cstdint>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// A back end of a service.
struct Target {
  std::string name;
  std::string address;
  std::string region;
  std::string failure_domain;
  // Number of requests it executes at a time.
  int slots = 1;
  // Tells one start of the target from another; zero when not known.
  uint64_t started_at = 0;
  // Time for which it stays cold, from when it was listed.
  Milliseconds warm_up_left{0};
};

}  // namespace redwing

#endif  // REDWING_STEERING_TARGET_H_
