#include "delivery/internal/retry_budget.h"

#include <algorithm>

namespace redwing {

void RetryBudget::CountRequest(std::string_view service,
                               bool forwarded,
                               size_t instances) {
  instances_ = std::max<size_t>(1, instances);
  double& saved = SavedFor(service);
  saved =
      std::min(MaxSaved(), saved + (forwarded ? options_.retries_per_forward
                                              : options_.retries_per_request));
}

bool RetryBudget::TrySpend(std::string_view service) {
  double& saved = SavedFor(service);
  if (saved < 1) {
    return false;
  }
  saved -= 1;
  return true;
}

double RetryBudget::MaxSaved() const {
  if (options_.max_saved_by_all <= 0) {
    return options_.max_saved;
  }
  const double part =
      options_.max_saved_by_all / static_cast<double>(instances_);
  // With less than one, no retry would ever be made.
  return std::max(1.0, std::min(options_.max_saved, part));
}

double& RetryBudget::SavedFor(std::string_view service) {
  const auto found = saved_.find(service);
  return found != saved_.end()
             ? found->second
             : saved_.emplace(std::string(service), MaxSaved()).first->second;
}

}  // namespace redwing
