#ifndef REDWING_BUDGET_BUDGET_OPTIONS_H_
#define REDWING_BUDGET_BUDGET_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds of the queues in which requests wait for tokens.
struct BudgetOptions {
  Milliseconds max_wait{500};
  size_t max_waiters = 512;
  Milliseconds lease_duration{1000};
  // Time after which a process spends the share of the former process of its
  // instance: what that one had lent must have ended. Where a former process
  // may still run, also longer than it takes to learn that its share is gone.
  Milliseconds inherit_delay{10'000};
  // Requests beyond a workspace's burst that may pass, counted over the fleet:
  // shares of small workspaces are parts of a request otherwise.
  double burst_tolerance = 0;
  // Requests reach their targets up to this much closer together than they were
  // admitted. Bursts leave room for that.
  Milliseconds passage_spread{20};
  // What was paid for and not sent for longer pays again. Above the lag of a
  // busy instance, whose requests would pay twice.
  Milliseconds charge_lifetime{500};
};

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGET_OPTIONS_H_
