#ifndef REDWING_DELIVERY_INTERNAL_DELIVERY_H_
#define REDWING_DELIVERY_INTERNAL_DELIVERY_H_

#include <optional>
#include <set>
#include <string>

#include "delivery/internal/idempotency_table.h"
#include "framework/errors/verdict.h"
#include "framework/kernel/cancellation.h"
#include "framework/kernel/clock.h"

namespace redwing {

class HttpExchange;
class RequestBody;
struct RequestContext;

// State shared by all attempts of one request.
struct Delivery {
  Delivery(const RequestContext& request_context,
           RequestBody& request_body,
           HttpExchange& http_exchange)
      : context(request_context), body(request_body), exchange(http_exchange) {}

  // Returns whether the caller no longer waits for the response.
  bool IsAbandoned() const;
  // Returns whether the request can be sent again: its body is replayable, no
  // response has begun, and neither attempts nor time are used up.
  bool CanRetry() const;
  // Sends a complete response to the caller; a forwarding instance also gets
  // the body's hash.
  void Respond(const StoredResponse& complete, const Yield& yield);

  const RequestContext& context;
  RequestBody& body;
  HttpExchange& exchange;
  Cancellation cancellation;
  // Whether the attempts are cancelled when the caller disconnects.
  bool cancellable = false;
  // Whether this process owns the request's idempotency key and has registered
  // the request.
  bool owns_key = false;
  // Whether to buffer the response instead of streaming it to the caller.
  bool collect = false;
  // Whether to wait for a slot if none is free.
  bool wait_for_slot = false;
  // Verdict on all attempts so far.
  Verdict verdict = Verdict::kNotRun;
  // Number of times that the request was sent to a target or to another
  // instance.
  int sent = 0;
  std::optional<StoredResponse> stored_response;
  std::set<std::string> tried_targets;
  std::set<std::string> tried_regions;
  // Target selected for the request; empty unless requests are sent through
  // slot leaders.
  std::string selected_target;
  // Response time expected when the target was selected.
  Milliseconds expected{0};
  // Connect time of the last forward; std::nullopt if it reused a connection.
  std::optional<Milliseconds> connect_time;
  // Number of attempts that were rejected before the request was sent to a
  // target.
  int refusals = 0;
  // Whether no candidate is left.
  bool exhausted = false;
  std::string last_failure_domain;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_DELIVERY_H_
