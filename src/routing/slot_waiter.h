#ifndef REDWING_ROUTING_SLOT_WAITER_H_
#define REDWING_ROUTING_SLOT_WAITER_H_

#include <memory>

#include "framework/kernel/timer.h"
#include "routing/slot_request.h"

namespace redwing {

class TargetState;

// A request that waits for a slot.
struct SlotWaiter {
  SlotWaiter(boost::asio::io_context& io,
             const SlotRequest& wanted,
             TimePoint now)
      : timer(io), request(wanted), since(now) {}

  Timer timer;
  SlotRequest request;
  TimePoint since;
  // A slot was free, but the tokens for the request did not suffice.
  bool lacks_tokens = false;
  // None of the targets that the request may use accepts requests any more.
  bool rejected = false;
  // Target whose slot the waiter got; null until then.
  std::shared_ptr<TargetState> granted;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SLOT_WAITER_H_
