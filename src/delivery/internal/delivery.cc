#include "delivery/internal/delivery.h"

#include "delivery/internal/hop_digest.h"
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

void Delivery::Respond(const StoredAnswer& whole, const Yield& yield) {
  ResponseHeader header = whole.header;
  if (context.forwarded()) {
    HopDigest::SetOn(&header, whole.body);
  }
  exchange.Respond(std::move(header), whole.body, yield);
}

}  // namespace redwing
