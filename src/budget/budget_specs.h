#ifndef REDWING_BUDGET_BUDGET_SPECS_H_
#define REDWING_BUDGET_BUDGET_SPECS_H_

#include <string>
#include <vector>

#include "budget/budget_spec.h"

namespace redwing {

class SteeringDocument;
struct BudgetOptions;

// Returns the budgets that apply to an instance in `own_region`: all workspaces
// with a rate, the region itself if it has a rate, and the links from it.
std::vector<BudgetSpec> BudgetSpecsOf(const SteeringDocument& document,
                                      const std::string& own_region,
                                      const BudgetOptions& options);

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGET_SPECS_H_
