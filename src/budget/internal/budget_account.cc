#include "budget/internal/budget_account.h"

#include <algorithm>

namespace redwing {

namespace {
constexpr double kHeadroom = 1.25;
// Time in which a backlog is to be worked off.
constexpr double kBacklogSeconds = 0.2;
// Demand below this part of the rate counts as none.
constexpr double kIdlePart = 1e-4;
// A bucket must hold more than one request.
constexpr double kMinCapacity = 1.5;
}  // namespace

void BudgetAccount::NoteDemand(double amount, TimePoint now) {
  demand.Add(amount);
  largest_amount = std::max(largest_amount, amount);
  last_used = now;
}

double BudgetAccount::NeededRate() const {
  // The first requests after a pause are not in the rate yet.
  const double backlog = waiting_amount + demand.pending();
  return demand.rate() * kHeadroom + backlog / kBacklogSeconds;
}

double BudgetAccount::NeededShare() const {
  const BudgetSpec& spec = bucket.spec();
  const double rate = NeededRate();
  if (rate <= spec.rate * kIdlePart) {
    return 0;
  }
  const double for_capacity = kMinCapacity * largest_amount / spec.burst;
  return std::min(1.0, std::max(rate / spec.rate, for_capacity));
}

}  // namespace redwing
