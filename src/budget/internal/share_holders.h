#ifndef REDWING_BUDGET_INTERNAL_SHARE_HOLDERS_H_
#define REDWING_BUDGET_INTERNAL_SHARE_HOLDERS_H_

#include <cstdint>
#include <map>
#include <string>

#include "budget/budget_spec.h"

namespace redwing {

// The part of all budgets that one instance owns, in units of 1/kWhole.
struct ShareHolder {
  std::string process_id;
  std::string region;
  int64_t fleet_parts = 0;
  int64_t region_parts = 0;
  bool revoked = false;
  // A process that took over from a former one of the same instance waits
  // until what the former one may still spend has ended.
  bool inherited = false;

  int64_t& parts(BudgetScope scope) {
    return scope == BudgetScope::kFleet ? fleet_parts : region_parts;
  }
  int64_t parts(BudgetScope scope) const {
    return scope == BudgetScope::kFleet ? fleet_parts : region_parts;
  }
  bool operator==(const ShareHolder& other) const = default;
};

// All holders, by name of the instance.
struct ShareHolders {
  static constexpr int64_t kWhole = 1'000'000;

  std::map<std::string, ShareHolder> by_instance;

  // Parts that nobody owns, for a region in the case of BudgetScope::kRegion.
  int64_t FreeParts(BudgetScope scope, const std::string& region) const;

  // Reads the body of the state entry; holders that are ill-formed are left
  // out.
  static ShareHolders Parse(const std::string& body);
  std::string Text() const;

  bool operator==(const ShareHolders& other) const = default;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_HOLDERS_H_
