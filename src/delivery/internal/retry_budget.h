#ifndef REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
#define REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_

#include <algorithm>

#include "delivery/retry_options.h"

namespace redwing {

// Limits retries to a part of the requests, so that a failing target cannot
// start a storm.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options)
      : options_(options), saved_(options.max_saved) {}

  void CountRequest() {
    saved_ =
        std::min(options_.max_saved, saved_ + options_.retries_per_request);
  }
  bool TrySpend() {
    if (saved_ < 1) {
      return false;
    }
    saved_ -= 1;
    return true;
  }

 private:
  RetryOptions options_;
  double saved_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
