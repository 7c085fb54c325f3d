#ifndef REDWING_DELIVERY_RETRY_OPTIONS_H_
#define REDWING_DELIVERY_RETRY_OPTIONS_H_

namespace redwing {

// Bounds of further tries at a service.
struct RetryOptions {
  // For each request that a caller sends to an instance.
  double retries_per_request = 0.2;
  // For each request that another instance hands to it. That one may retry as
  // well, so both together are what a request may cost.
  double retries_per_forward = 0.2;
  // Retries that an instance starts with and can save up.
  double max_saved = 50;
  // What all instances together may save up: none saves more than its part.
  // None: not bounded.
  double max_saved_by_all = 0;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_RETRY_OPTIONS_H_
