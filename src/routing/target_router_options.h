#ifndef REDWING_ROUTING_TARGET_ROUTER_OPTIONS_H_
#define REDWING_ROUTING_TARGET_ROUTER_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Options of the router: limits of the queues in which requests wait for slots,
// and how targets are chosen.
struct TargetRouterOptions {
  size_t queue_per_workspace = 256;
  Milliseconds max_wait{2000};
  // Longest wait of a request for which a slot is free but the tokens do not
  // suffice.
  Milliseconds max_unpaid_wait{500};
  // Upper bound on ejected targets, as a fraction of a service's targets in
  // this region.
  double max_ejected_fraction = 0.5;
  // Whether each target has one slot leader through which all its requests are
  // sent.
  bool led_targets = false;
  // Whether targets' health checks are polled periodically.
  bool polls_health = true;
  // Upper bound on the fraction of an instance's requests that may shift
  // between regions from one ShiftLimiter::kWindow to the next; 0 means no
  // limit.
  double max_shift = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_ROUTER_OPTIONS_H_
