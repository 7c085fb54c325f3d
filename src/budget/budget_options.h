#ifndef REDWING_BUDGET_BUDGET_OPTIONS_H_
#define REDWING_BUDGET_BUDGET_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Settings of the budgets of one instance.
struct BudgetOptions {
  // Maximum time for which a request waits for tokens.
  Milliseconds max_wait{500};
  // Maximum number of requests that wait for tokens of one budget.
  size_t max_waiters = 512;
  // Time after which a share lease expires unless it is renewed.
  Milliseconds lease_duration{1000};
  // Time after its start from which a process may spend the share that a
  // previous process of the same instance owned. Longer than the leases that
  // the previous process granted; where the previous process may still run,
  // also longer than that process needs to learn that it lost the share.
  Milliseconds inherited_share_delay{10'000};
  // Number of requests beyond a workspace's burst that the fleet admits.
  // Without it, the shares of small workspaces are fractions of one request.
  double burst_tolerance = 0;
  // Maximum time by which the gap between two requests shrinks from admission
  // to arrival at the target. The admitted burst is reduced accordingly.
  Milliseconds arrival_spread{20};
  // Time after which a charge whose request was not sent yet expires and must
  // be made again. Longer than the scheduling lag of a busy instance, whose
  // requests would otherwise be charged twice.
  Milliseconds charge_lifetime{500};
};

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGET_OPTIONS_H_
