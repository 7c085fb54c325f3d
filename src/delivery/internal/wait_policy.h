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

// Returns whether the answer cannot come within the target latency any more,
// even if the request runs at once.
bool IsLate(const WaitRequest& request);

// Returns when a caller that was refused is to come back: after the wait for a
// slot and up to once as long again, so that refused callers do not come back
// together, but soon enough for an answer in time. `left`: until it gives up;
// `draw`: between 0 and 1.
Milliseconds RetryAfter(Milliseconds wait, Clock::duration left, double draw);

// Returns when a caller is to come back to targets that take no requests before
// `earliest`, so that all those refused meanwhile do not come back at that
// moment. `draw`: between 0 and 1.
Milliseconds SpreadReturn(Milliseconds earliest, double draw);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_WAIT_POLICY_H_
