#ifndef REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
#define REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_

#include <map>
#include <string>
#include <string_view>

#include "delivery/retry_options.h"

namespace redwing {

// Limits the retries at each service to a fraction of its requests, so that
// failing targets cannot cause a retry storm. The instances exchange no
// messages: the fractions that they grant for the same request add up to its
// limit.
class RetryBudget {
 public:
  explicit RetryBudget(RetryOptions options) : options_(options) {}

  // Counts a request. `forwarded`: it was forwarded by another instance.
  // `instances`: number of known instances, including this one.
  void CountRequest(std::string_view service, bool forwarded, size_t instances);
  // Charges one retry at a service. Returns false if its budget is used up.
  bool TrySpend(std::string_view service);

 private:
  double MaxBalance() const;
  double& BalanceOf(std::string_view service);

  RetryOptions options_;
  size_t instances_ = 1;
  std::map<std::string, double, std::less<>> balances_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_RETRY_BUDGET_H_
