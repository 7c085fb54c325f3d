// A caller receives the whole answer to its own request, also when the lines
// between entries and targets swap what they carry.

#include <catch2/catch.hpp>
#include <thread>

#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"
#include "testing/integration/fleet_checks.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr double kRate = 5000;
constexpr double kBurst = 1000;

json Requests() {
  return {{{"service", "svc"}, {"path", "/x"}, {"response_bytes", 20'000}},
          {{"service", "svc"},
           {"path", "/x"},
           {"method", "POST"},
           {"body_bytes", 3000},
           {"once", true}},
          {{"service", "svc"},
           {"path", "/x"},
           {"method", "POST"},
           {"body_bytes", 300},
           {"keyed", true}}};
}

json Load(const std::string& key,
          int regions,
          double rate,
          int duration_ms,
          const json& requests = Requests()) {
  json groups = json::array();
  for (int region = 1; region <= regions; ++region) {
    groups.push_back({{"name", "g" + std::to_string(region)},
                      {"key", key},
                      {"region", "r" + std::to_string(region)},
                      {"rate_per_s", rate / regions},
                      {"requests", requests}});
  }
  return {{"duration_ms", duration_ms},
          {"timeout_ms", 4000},
          {"max_tries", 6},
          {"groups", groups}};
}

TEST_CASE("answers of targets are crossed between connections") {
  Fleet fleet(SmallPlan(1, 2, kRate, kBurst));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, 1, 200, 5000), "crossed");
  std::this_thread::sleep_for(Milliseconds(1000));
  fleet.SetRules({{{"from", 1}, {"to", 1}, {"cross", true}}});
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.SetRules({{{"from", 1}, {"to", 1}, {"cross", false}}});
  CheckSound(fleet.EndLoad(*load, "crossed"));
  double noticed = 0;
  for (const FleetEntry& entry : fleet.entries()) {
    noticed += fleet.Counter(entry, "redwing_answers_crossed_total");
  }
  CHECK(noticed > 0);
}

}  // namespace
}  // namespace redwing::testing
