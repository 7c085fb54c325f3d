#ifndef REDWING_ROUTING_SLOT_REQUEST_H_
#define REDWING_ROUTING_SLOT_REQUEST_H_

#include <functional>
#include <set>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Requirements of a request on a slot of a target.
struct SlotRequest {
  std::string service;
  std::string workspace;
  double weight = 1;
  TimePoint deadline;
  // Latest time at which a slot is still useful.
  TimePoint start_by = TimePoint::max();
  // Whether the response can no longer arrive in time; such requests are served
  // after all others.
  bool late = false;
  // Requests with the same key are sent to the same target while it has free
  // slots; empty if the request has no key.
  std::string affinity_key;
  // Name of the only target to use; empty if any target may be used.
  std::string target;
  // Whether the request waits if no slot is free.
  bool waits = true;
  // Targets that previous attempts were sent to.
  std::set<std::string> exclude;
  // Failure domain that is used only if no other one has a candidate.
  std::string avoid_failure_domain;
  // Charges the request's tokens at the moment at which it gets a slot. Returns
  // false if the tokens do not suffice; the request then gets no slot. If
  // empty, the request is free of charge.
  std::function<bool()> charge;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_SLOT_REQUEST_H_
