#ifndef REDWING_TESTING_HARNESS_DEPLOYMENTS_H_
#define REDWING_TESTING_HARNESS_DEPLOYMENTS_H_

#include <string>

#include "testing/harness/fleet.h"

namespace redwing::testing {

// Fleets like those of the two users, with `entries` entry instances in each
// region. Sections come from the files in examples/.
FleetPlan RegistryPlan(int entries);
FleetPlan RempahPlan(int entries);

// A small fleet for tests of one mechanism: one service "svc" with an
// idempotent route (GET), one that runs once (POST) and one open to all (GET
// under /open), and workspaces "alpha" and "beta" of the given rate and burst.
FleetPlan SmallPlan(int regions, int entries, double rate, double burst);

}  // namespace redwing::testing

#endif  // REDWING_TESTING_HARNESS_DEPLOYMENTS_H_
