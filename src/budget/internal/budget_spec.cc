#include "budget/budget_spec.h"

#include <fmt/format.h>

namespace redwing {

std::string WorkspaceBudgetName(std::string_view workspace) {
  return fmt::format("workspace/{}", workspace);
}

std::string RegionBudgetName(std::string_view region) {
  return fmt::format("region/{}", region);
}

std::string LinkBudgetName(std::string_view from, std::string_view to) {
  return fmt::format("link/{}>{}", from, to);
}

}  // namespace redwing
