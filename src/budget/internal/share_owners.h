#ifndef REDWING_BUDGET_INTERNAL_SHARE_OWNERS_H_
#define REDWING_BUDGET_INTERNAL_SHARE_OWNERS_H_

#include <cstddef>

#include "budget/budget_spec.h"
#include "membership/membership.h"

namespace redwing {

struct Identity;
struct ShareHolders;

// Maximum number of share owners per region: enough that the loss of one leaves
// most of the region's share, few enough that a share holds whole requests.
inline constexpr size_t kOwnersPerRegion = 4;

// Returns whether this instance should own a share: it already does, or its
// region has fewer than kOwnersPerRegion share owners and it is the next
// candidate. Candidates are ordered by the number of share owners in their
// failure domain, then by rendezvous hash.
bool ShouldOwnShare(const ShareHolders& published,
                    const Identity& own,
                    const Membership::MemberMap& members);

// Returns the intended number of share owners in a scope.
size_t OwnerCount(BudgetScope scope,
                  const Identity& own,
                  const Membership::MemberMap& members);

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_OWNERS_H_
