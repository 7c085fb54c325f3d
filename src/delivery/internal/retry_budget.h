#ifndef REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
#define REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_

#include <map>
#include <string>
#include <string_view>

#include "delivery/retry_options.h"

namespace redwing {

// Limits retries at each service to a part of the requests for it, so that
// failing targets cannot start a storm. No message is needed: the parts that
// instances take for the same request add up to the part that it may cost.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options) : options_(options) {}

  // Counts a request. `forwarded`: handed on by another instance.
  // `instances`: all that are known, this one included.
  void CountRequest(std::string_view service, bool forwarded, size_t instances);
  // Takes a retry at a service; false when too many were made.
  bool TrySpend(std::string_view service);

 private:
  double MaxSaved() const;
  double& SavedFor(std::string_view service);

  RetryOptions options_;
  size_t instances_ = 1;
  std::map<std::string, double, std::less<>> saved_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
