// A caller receives the whole answer to its own request, also when the lines
// between entries and targets swap what they carry.

#include <catch2/catch.hpp>
#include <thread>

#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"
#include "testing/integration/fleet_checks.h"
#include "testing/integration/fleet_load.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr double kRate = 5000;
constexpr double kBurst = 1000;

TEST_CASE("answers of targets are crossed between connections") {
  // Bodies alone: each header is the right one, only the digest in it tells.
  const bool bodies_only = GENERATE(false, true);
  CAPTURE(bodies_only);
  Fleet fleet(SmallPlan(1, 2, kRate, kBurst));
  fleet.Start();
  fleet.SetTargets({{"digests", true}});
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(FleetLoad(key, 1, 200, 5000), "crossed");
  std::this_thread::sleep_for(Milliseconds(1000));
  fleet.SetRules({{{"from", 1},
                   {"to", 1},
                   {"cross", true},
                   {"cross_bodies_only", bodies_only}}});
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.SetRules({{{"from", 1}, {"to", 1}, {"cross", false}}});
  CheckSound(fleet.EndLoad(*load, "crossed"));
  double noticed = 0;
  for (const FleetEntry& entry : fleet.entries()) {
    noticed +=
        fleet.Counter(entry, bodies_only ? "redwing_answers_altered_total"
                                         : "redwing_answers_crossed_total");
  }
  CHECK(noticed > 0);
}

}  // namespace
}  // namespace redwing::testing
