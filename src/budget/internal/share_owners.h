#ifndef REDWING_BUDGET_INTERNAL_SHARE_OWNERS_H_
#define REDWING_BUDGET_INTERNAL_SHARE_OWNERS_H_

#include <cstddef>

#include "budget/budget_spec.h"
#include "membership/membership.h"

namespace redwing {

struct Identity;
struct ShareHolders;

// Instances of a region that own shares of budgets. Enough that a lost one
// leaves most of the region's share, few enough that a share holds whole
// requests.
inline constexpr size_t kOwnersPerRegion = 4;

// Returns whether this instance is to own a share: it does, or its region has
// room for an owner and it is the next. Owners are spread over the failure
// domains of a region, and are in rendezvous order within one.
bool ShouldOwnShare(const ShareHolders& published,
                    const Identity& own,
                    const Membership::MemberMap& members);

// Returns how many owners there are to be in a scope.
size_t OwnerCount(BudgetScope scope,
                  const Identity& own,
                  const Membership::MemberMap& members);

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_OWNERS_H_
