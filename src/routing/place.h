#ifndef REDWING_ROUTING_PLACE_H_
#define REDWING_ROUTING_PLACE_H_

#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// A target for one request, and the entry that gives out its slots.
struct Place {
  std::string service;
  std::string target;
  std::string region;
  // Empty when it is this instance.
  std::string leader;
  // Of the target.
  int slots = 1;
  // Time until the answer, as far as is known.
  Milliseconds expected{0};
};

}  // namespace redwing

#endif  // REDWING_ROUTING_PLACE_H_
