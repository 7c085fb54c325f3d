#include "delivery/internal/retry_budget.h"

#include <algorithm>

namespace redwing {

void RetryBudget::CountRequest(std::string_view service,
                               bool forwarded,
                               size_t instances) {
  instances_ = std::max<size_t>(1, instances);
  double& balance = BalanceOf(service);
  balance = std::min(MaxBalance(),
                     balance + (forwarded ? options_.retries_per_forward
                                          : options_.retries_per_request));
}

bool RetryBudget::TrySpend(std::string_view service) {
  double& balance = BalanceOf(service);
  if (balance < 1) {
    return false;
  }
  balance -= 1;
  return true;
}

double RetryBudget::MaxBalance() const {
  if (options_.max_saved_by_fleet <= 0) {
    return options_.max_saved;
  }
  const double share =
      options_.max_saved_by_fleet / static_cast<double>(instances_);
  // With less than one, no retry would ever be made.
  return std::max(1.0, std::min(options_.max_saved, share));
}

double& RetryBudget::BalanceOf(std::string_view service) {
  const auto found = balances_.find(service);
  return found != balances_.end()
             ? found->second
             : balances_.emplace(std::string(service), MaxBalance())
                   .first->second;
}

}  // namespace redwing
