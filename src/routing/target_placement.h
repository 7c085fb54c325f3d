#ifndef REDWING_ROUTING_TARGET_PLACEMENT_H_
#define REDWING_ROUTING_TARGET_PLACEMENT_H_

#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// The target selected for one request, and the entry instance that leads its
// slots.
struct TargetPlacement {
  std::string service;
  std::string target;
  std::string region;
  // Name of the entry instance that leads the target's slots; empty if it is
  // this instance.
  std::string leader;
  // Number of slots of the target.
  int slots = 1;
  // Expected time until the response arrives.
  Milliseconds expected{0};
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_PLACEMENT_H_
