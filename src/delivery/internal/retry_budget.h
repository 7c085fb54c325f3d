#ifndef REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
#define REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_

#include <algorithm>

namespace redwing {

// Limits retries to a part of the requests, so that a failing target cannot
// start a storm.
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.2;
  static constexpr double kMaxSaved = 50;  // retries

  void CountRequest() {
    saved_ = std::min(kMaxSaved, saved_ + kRetriesPerRequest);
  }
  bool TrySpend() {
    if (saved_ < 1) {
      return false;
    }
    saved_ -= 1;
    return true;
  }

 private:
  double saved_ = kMaxSaved;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
