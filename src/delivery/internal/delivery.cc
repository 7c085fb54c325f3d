#include "delivery/internal/delivery.h"

#include "delivery/internal/hop_digest.h"
#include "delivery/internal/request_body.h"
#include "delivery/internal/request_context.h"
#include "framework/http/http_exchange.h"

namespace redwing {

bool Delivery::IsAbandoned() const {
  return cancellation.cancelled() || (cancellable && exchange.CallerHasLeft());
}

bool Delivery::CanRetry() const {
  return body.replayable() && !exchange.response_begun() &&
         !exchange.broken() && !cancellation.cancelled() &&
         sent < context.max_attempts && Clock::now() < context.deadline;
}

void Delivery::Respond(const StoredResponse& complete, const Yield& yield) {
  ResponseHeader header = complete.header;
  if (context.forwarded()) {
    HopDigest::SetOn(&header, complete.body);
  }
  exchange.Respond(std::move(header), complete.body, yield);
}

}  // namespace redwing
