#ifndef REDWING_BUDGET_BUDGET_SPEC_H_
#define REDWING_BUDGET_BUDGET_SPEC_H_

#include <string>
#include <string_view>

namespace redwing {

// Whose instances hold the shares of a budget.
enum class BudgetScope { kFleet, kRegion };

// A rate and a burst counted over all instances of a scope together.
struct BudgetSpec {
  std::string name;
  BudgetScope scope = BudgetScope::kFleet;
  double rate = 0;   // units a second
  double burst = 0;  // units
};

// Names of the budgets made from the steering document.
std::string WorkspaceBudgetName(std::string_view workspace);
std::string RegionBudgetName(std::string_view region);
std::string LinkBudgetName(std::string_view from, std::string_view to);

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGET_SPEC_H_
