#ifndef REDWING_DELIVERY_INTERNAL_WAIT_POLICY_H_
#define REDWING_DELIVERY_INTERNAL_WAIT_POLICY_H_

#include "framework/kernel/clock.h"

namespace redwing {

// A request that asks for a slot, in time.
struct WaitRequest {
  // Since the caller sent it.
  Milliseconds age{0};
  // Within which its answer is worth most, counted from then; 0 for none.
  Milliseconds target_latency{0};
  // Until its caller gives up.
  Milliseconds left{0};
  // What its run is likely to take.
  Milliseconds run{0};
};

// Returns for how long a request may wait for a slot: while its answer can
// still come in time; one that is late at any rate takes a slot that is free or
// soon free. Zero: it takes a slot now or none.
Milliseconds AllowedWait(const WaitRequest& request);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_WAIT_POLICY_H_
