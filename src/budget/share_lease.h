#ifndef REDWING_BUDGET_SHARE_LEASE_H_
#define REDWING_BUDGET_SHARE_LEASE_H_

#include <cstdint>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// A part of a budget that one instance lends to another for a limited time.
struct ShareLease {
  uint64_t id = 0;
  std::string peer;
  double share = 0;  // part of the whole budget, 0 to 1
  TimePoint until;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_SHARE_LEASE_H_
