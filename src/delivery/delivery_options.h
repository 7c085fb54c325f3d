#ifndef REDWING_DELIVERY_DELIVERY_OPTIONS_H_
#define REDWING_DELIVERY_DELIVERY_OPTIONS_H_

#include <cstddef>

#include "delivery/header_dialect.h"
#include "delivery/retry_options.h"

namespace redwing {

// Options of request delivery.
struct DeliveryOptions {
  HeaderDialect dialect;
  RetryOptions retries;
  // Buffers each response until it is complete, so that an idempotent request
  // whose response is broken can be retried. Responses larger than
  // IdempotencyTable's limit are streamed instead.
  bool buffer_responses = false;
  // Sends each request to a target through the instance that leads the target's
  // slots.
  bool led_targets = false;
  // Number of recent decisions on requests that are kept for operators'
  // queries; each takes up to 1 KB.
  size_t max_decisions = 4096;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_DELIVERY_OPTIONS_H_
