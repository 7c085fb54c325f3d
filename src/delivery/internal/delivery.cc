#include "delivery/internal/delivery.h"

#include "delivery/internal/request_body.h"
#include "delivery/internal/request_context.h"
#include "framework/http/http_exchange.h"

namespace redwing {

bool Delivery::IsAbandoned() const {
  return cancellation.cancelled() || (cancellable && exchange.CallerHasLeft());
}

bool Delivery::CanRepeat() const {
  return body.replayable() && !exchange.response_begun() &&
         !exchange.broken() && !cancellation.cancelled() &&
         sent < context.max_attempts && Clock::now() < context.deadline;
}

}  // namespace redwing
