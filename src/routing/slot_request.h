#ifndef REDWING_ROUTING_SLOT_REQUEST_H_
#define REDWING_ROUTING_SLOT_REQUEST_H_

#include <functional>
#include <set>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// What a request needs of a target.
struct SlotRequest {
  std::string service;
  std::string workspace;
  double weight = 1;
  TimePoint deadline;
  // A slot after this time is of no use.
  TimePoint start_by = TimePoint::max();
  // Its answer cannot come in time any more: served after those that can.
  bool late = false;
  // Requests with the same key go to the same target while it has room; empty
  // for none.
  std::string affinity_key;
  // The only target that will do; empty for any.
  std::string target;
  // Wait where no slot is free.
  bool waits = true;
  // Targets that were tried already.
  std::set<std::string> exclude;
  // Failure domain that is chosen only when no other is left.
  std::string avoid_failure_domain;
  // Pays for the request at the moment at which it gets a slot; a slot is not
  // given to what cannot pay. Returns whether it is paid. None: free.
  std::function<bool()> pay;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SLOT_REQUEST_H_
