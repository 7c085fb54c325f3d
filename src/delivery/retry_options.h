#ifndef REDWING_DELIVERY_RETRY_OPTIONS_H_
#define REDWING_DELIVERY_RETRY_OPTIONS_H_

namespace redwing {

// Bounds of further tries by one instance.
struct RetryOptions {
  double retries_per_request = 0.2;
  // Retries that can be saved up, and with which an instance starts.
  double max_saved = 50;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_RETRY_OPTIONS_H_
