#ifndef REDWING_BUDGET_BUDGET_SPEC_H_
#define REDWING_BUDGET_BUDGET_SPEC_H_

#include <string>
#include <string_view>

namespace redwing {

// Set of instances that share a budget.
enum class BudgetScope { kFleet, kRegion };

// Rate and burst limit that all instances of the scope share.
struct BudgetSpec {
  std::string name;
  BudgetScope scope = BudgetScope::kFleet;
  double rate = 0;   // units per second
  double burst = 0;  // units
};

// Return the names of the budgets that are derived from the steering document:
// of a workspace, of a region, and of the link between two regions.
std::string WorkspaceBudgetName(std::string_view workspace);
std::string RegionBudgetName(std::string_view region);
std::string LinkBudgetName(std::string_view from, std::string_view to);

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGET_SPEC_H_
