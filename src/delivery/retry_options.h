#ifndef REDWING_DELIVERY_RETRY_OPTIONS_H_
#define REDWING_DELIVERY_RETRY_OPTIONS_H_

namespace redwing {

// Limits on the retries at each service.
struct RetryOptions {
  // Retries earned by each request that a caller sends to the instance.
  double retries_per_request = 0.2;
  // Retries earned by each request that another instance forwards. The
  // forwarding instance may retry as well, so a request may cost the sum of
  // both.
  double retries_per_forward = 0.2;
  // Initial and largest number of retries that an instance saves up for a
  // service.
  double max_saved = 50;
  // Upper bound on the retries that all instances together save up; each saves
  // at most an equal share of it, but at least 1. 0: no bound.
  double max_saved_by_fleet = 0;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_RETRY_OPTIONS_H_
