#ifndef REDWING_DELIVERY_DELIVERY_OPTIONS_H_
#define REDWING_DELIVERY_DELIVERY_OPTIONS_H_

#include <cstddef>

#include "delivery/header_dialect.h"
#include "delivery/retry_options.h"

namespace redwing {

// How requests are carried.
struct DeliveryOptions {
  HeaderDialect dialect;
  RetryOptions retries;
  // Holds an answer until it is whole, so that a broken one of an idempotent
  // request can be asked for again. Answers beyond the limit of remembered
  // ones are handed on as they come.
  bool hold_answers = false;
  // Requests go to a target by way of the entry that leads it.
  bool led_targets = false;
  // Latest decisions on requests that are kept for operators' questions: up to
  // 1 KB each.
  size_t kept_decisions = 4096;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_DELIVERY_OPTIONS_H_
