#ifndef REDWING_BUDGET_BUDGET_OPTIONS_H_
#define REDWING_BUDGET_BUDGET_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds of the queues in which requests wait for tokens.
struct BudgetOptions {
  Milliseconds max_wait{500};
  size_t max_waiters = 512;
  Milliseconds lease_duration{1000};
};

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGET_OPTIONS_H_
