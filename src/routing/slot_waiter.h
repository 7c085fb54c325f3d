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
  // There was a slot, and the request could not pay.
  bool unpaid = false;
  // No target that it could get takes requests any more.
  bool turned_away = false;
  // The target whose slot was given to the waiter.
  std::shared_ptr<TargetState> granted;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SLOT_WAITER_H_
