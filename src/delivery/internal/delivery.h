#ifndef REDWING_DELIVERY_INTERNAL_DELIVERY_H_
#define REDWING_DELIVERY_INTERNAL_DELIVERY_H_

#include <optional>
#include <set>
#include <string>

#include "delivery/internal/idempotency_table.h"
#include "framework/kernel/cancellation.h"
#include "framework/kernel/clock.h"

namespace redwing {

class HttpExchange;
class RequestBody;
struct RequestContext;

// What one request's tries share.
struct Delivery {
  Delivery(const RequestContext& request_context,
           RequestBody& request_body,
           HttpExchange& http_exchange)
      : context(request_context), body(request_body), exchange(http_exchange) {}

  // Returns whether nobody waits for the answer any more.
  bool IsAbandoned() const;
  // Returns whether the request can be sent once more at all.
  bool CanRepeat() const;
  // Answers the caller with a whole answer. Another entry can check its body.
  void Respond(const StoredAnswer& whole, const Yield& yield);

  const RequestContext& context;
  RequestBody& body;
  HttpExchange& exchange;
  Cancellation cancellation;
  // Nobody is served once the caller has left.
  bool cancellable = false;
  // Collect the answer instead of handing it on.
  bool collect = false;
  // Wait for a slot where none is free.
  bool patient = false;
  // Targets and entries that it was sent to.
  int sent = 0;
  std::optional<StoredAnswer> answer;
  std::set<std::string> tried_targets;
  std::set<std::string> tried_regions;
  // The target that was chosen, where targets are led.
  std::string chosen_target;
  // Time until its answer, as expected when it was chosen.
  Milliseconds expected{0};
  // Of the last attempt, when it opened a connection.
  std::optional<Milliseconds> connect_time;
  // Leaders that had no room.
  int refusals = 0;
  // No place is left.
  bool exhausted = false;
  std::string last_failure_domain;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_DELIVERY_H_
