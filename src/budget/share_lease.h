#ifndef REDWING_BUDGET_SHARE_LEASE_H_
#define REDWING_BUDGET_SHARE_LEASE_H_

#include <cstdint>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Share of a budget that one instance lends to another for a limited time.
struct ShareLease {
  uint64_t id = 0;
  std::string peer;  // the other instance: borrower or lender
  double share = 0;  // fraction of the budget, 0 to 1
  // Expiry on the clock of the instance that stores this copy.
  TimePoint until;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_SHARE_LEASE_H_
