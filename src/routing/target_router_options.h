#ifndef REDWING_ROUTING_TARGET_ROUTER_OPTIONS_H_
#define REDWING_ROUTING_TARGET_ROUTER_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds of the queues in which requests wait for slots.
struct TargetRouterOptions {
  size_t queue_per_workspace = 256;
  Milliseconds max_wait{2000};
  // For requests that have a slot and lack tokens.
  Milliseconds max_unpaid_wait{500};
  // Ejected targets never exceed this part of a service's local targets.
  double max_ejected_part = 0.5;
  // Each target gets its work through the one entry that leads it.
  bool led_targets = false;
  // Ask targets for their health at an interval.
  bool polls_health = true;
  // Largest part of an instance's requests that may move to other regions, or
  // back, from one ShiftLimiter::kWindow to the next; 0 for no limit.
  double max_shift = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_ROUTER_OPTIONS_H_
