#ifndef REDWING_DELIVERY_INTERNAL_WAIT_POLICY_H_
#define REDWING_DELIVERY_INTERNAL_WAIT_POLICY_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Timing of a request that waits for a slot.
struct WaitRequest {
  // Time since the caller sent the request.
  Milliseconds age{0};
  // Time after sending within which the response is most useful; 0 for none.
  Milliseconds target_latency{0};
  // Time until the caller gives up.
  Milliseconds left{0};
  // Expected run time of the request.
  Milliseconds run{0};
};

// Returns for how long a request may wait for a slot: as long as its response
// can still be in time. A request that is late in any case may only take a slot
// that is free or about to be. Zero: it takes a free slot or none.
Milliseconds AllowedWait(const WaitRequest& request);

// Returns whether the response cannot arrive within the target latency, even if
// the request runs at once.
bool IsLate(const WaitRequest& request);

// Returns the time after which a rejected caller should retry: the wait for a
// slot plus a random part of up to the same time, so that rejected callers do
// not return together, limited so that a response can still be in time. `left`:
// time until the caller gives up; `random_value`: random number, 0 to 1.
Milliseconds RetryAfter(Milliseconds wait,
                        Clock::duration left,
                        double random_value);

// Returns the time after which a caller should retry if all targets are in
// backoff until `earliest` from now; spread at random so that rejected callers
// do not return at the same moment. `random_value`: random number, 0 to 1.
Milliseconds SpreadRetryAfter(Milliseconds earliest, double random_value);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_WAIT_POLICY_H_
