#ifndef REDWING_BUDGET_INTERNAL_SHARE_HOLDERS_H_
#define REDWING_BUDGET_INTERNAL_SHARE_HOLDERS_H_

#include <cstdint>
#include <map>
#include <string>

#include "budget/budget_spec.h"

namespace redwing {

// Share of all budgets that one instance owns, in parts of 1/kWhole.
struct ShareHolder {
  std::string process_id;
  std::string region;
  int64_t fleet_parts = 0;
  int64_t region_parts = 0;
  // Whether the share is being reclaimed and must no longer be spent.
  bool revoked = false;
  // Whether a previous process of the same instance owned the share. The new
  // process does not spend until leases and grants of the previous one expired.
  bool inherited = false;

  // Return the parts of budgets with the given scope.
  int64_t& parts(BudgetScope scope) {
    return scope == BudgetScope::kFleet ? fleet_parts : region_parts;
  }
  int64_t parts(BudgetScope scope) const {
    return scope == BudgetScope::kFleet ? fleet_parts : region_parts;
  }
  bool operator==(const ShareHolder& other) const = default;
};

// All share owners, by instance name.
struct ShareHolders {
  static constexpr int64_t kWhole = 1'000'000;

  std::map<std::string, ShareHolder> by_instance;

  // Returns the parts that no instance owns; for BudgetScope::kRegion those of
  // the given region.
  int64_t FreeParts(BudgetScope scope, const std::string& region) const;

  // Parses the body of the state entry. Skips malformed share owners; returns
  // none if the body is malformed.
  static ShareHolders Parse(const std::string& body);
  // Serializes to the body of the state entry.
  std::string Text() const;

  bool operator==(const ShareHolders& other) const = default;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_HOLDERS_H_
