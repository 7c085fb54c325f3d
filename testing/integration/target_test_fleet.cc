// Work goes to targets that do it: those that err, shed, are cold, leave their
// callers or die get little of it, and what is left of the fleet is used.

#include <catch2/catch.hpp>
#include <thread>

#include "framework/settings/endpoint.h"
#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"
#include "testing/integration/fleet_checks.h"
#include "testing/integration/fleet_load.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr double kRate = 5000;
constexpr double kBurst = 1000;

json Load(const std::string& key, int regions, double rate, int duration_ms) {
  const json requests = {{{"service", "svc"}, {"path", "/x"}},
                         {{"service", "svc"},
                          {"path", "/x"},
                          {"method", "POST"},
                          {"body_bytes", 300},
                          {"once", true}}};
  return FleetLoad(key, regions, rate, duration_ms, requests);
}

// Part of all requests that were refused as not run.
double PartRefused(const json& report) {
  return report.at("all").at("verdicts").value("not_run", 0.0) /
         report.at("all").at("sent").get<double>();
}

// Runs of a target, and of all, in an interval of the targets' clock.
struct RunCounts {
  double target = 0;
  double all = 0;
  double part() const { return all == 0 ? 0 : target / all; }
};

RunCounts CountRuns(const Fleet& fleet,
                    const std::string& target,
                    int64_t from_us,
                    int64_t until_us) {
  RunCounts counts;
  for (const json& run : fleet.Runs()) {
    const int64_t at_us = run.at(0);
    if (at_us < from_us || at_us >= until_us) {
      continue;
    }
    ++counts.all;
    counts.target += run.at(1) == target ? 1 : 0;
  }
  return counts;
}

int64_t LastRunUs(const Fleet& fleet) {
  return fleet.Runs().back().at(0).get<int64_t>();
}

void SetTarget(const Fleet& fleet,
               const std::string& name,
               const json& behaviour) {
  CallJson(http::verb::post, fleet.target_addresses().at(name),
           "/_control/behaviour", behaviour);
}

FleetPlan Plan(int regions, int entries, int targets, int slots, int ms) {
  FleetPlan plan = SmallPlan(regions, entries, kRate, kBurst);
  plan.targets = {{"svc", targets, slots, ms}};
  return plan;
}

TEST_CASE("a target that only errs is left out, whatever its health says") {
  Fleet fleet(Plan(1, 2, 4, 8, 5));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, 1, 200, 14'000), "errs");
  std::this_thread::sleep_for(Milliseconds(2000));
  SetTarget(fleet, "svc-1", {{"mode", "error"}});
  const int64_t erring_us = LastRunUs(fleet);
  std::this_thread::sleep_for(Milliseconds(4000));
  SetTarget(fleet, "svc-1", {{"mode", "ok"}});
  const int64_t well_us = LastRunUs(fleet);
  CheckSound(fleet.EndLoad(*load, "errs"));
  // A fair part is a quarter.
  const RunCounts erring = CountRuns(fleet, "svc-1", erring_us, well_us);
  CAPTURE(erring.target, erring.all);
  CHECK(erring.part() < 0.1);
  // Once it works again, it gets work again.
  CHECK(CountRuns(fleet, "svc-1", well_us + 5'000'000, INT64_MAX).target > 0);
}

TEST_CASE("targets that shed at half their slots cost no request") {
  Fleet fleet(Plan(1, 2, 4, 8, 20));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  fleet.SetTargets({{"slots", 4}, {"queue", 0}});
  const json report = fleet.RunLoad(Load(key, 1, 300, 6000), "sheds");
  CheckSound(report);
  CHECK(PartOk(report) > 0.99);
}

TEST_CASE("a cold target gets less work until it is warm") {
  Fleet fleet(Plan(1, 2, 4, 8, 8));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, 1, 400, 8000), "cold");
  std::this_thread::sleep_for(Milliseconds(2000));
  SetTarget(fleet, "svc-1", {{"cold_requests", 200}, {"cold_factor", 10}});
  const int64_t cold_us = LastRunUs(fleet);
  const json report = fleet.EndLoad(*load, "cold");
  CheckSound(report);
  CHECK(PartOk(report) > 0.99);
  // Fewer than a fair part, a quarter, while it is cold: 200 requests at the
  // least would take two seconds of a fair part.
  const RunCounts cold =
      CountRuns(fleet, "svc-1", cold_us, cold_us + 1'500'000);
  CAPTURE(cold.target, cold.all);
  CHECK(cold.part() < 0.2);
}

TEST_CASE("a caller that leaves frees its slot") {
  Fleet fleet(Plan(1, 1, 1, 1, 4000));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  // Past the slow start.
  std::this_thread::sleep_for(Milliseconds(2500));
  HttpCall call;
  call.endpoint = TcpEndpoint(fleet.entries().front().http_address);
  call.target = "/v1/services/svc/x";
  call.headers = {{"Authorization", "Bearer " + key}};
  call.timeout = Milliseconds(500);
  CHECK_FALSE(CallSync(call));
  SetTarget(fleet, "svc-1", {{"service_ms", 10}});
  call.timeout = Milliseconds(2000);
  const Result<HttpReply> reply = CallSync(call);
  REQUIRE(reply);
  CHECK(reply.value().status == 200);
}

TEST_CASE("a failure domain dies and nearly nothing is refused") {
  Fleet fleet(Plan(2, 2, 8, 8, 5));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, 2, 200, 12'000), "domain");
  std::this_thread::sleep_for(Milliseconds(2000));
  for (FleetEntry& entry : fleet.entries()) {
    if (entry.failure_domain == "r1-a") {
      fleet.KillEntry(entry);
    }
  }
  for (const auto& [name, address] : fleet.target_addresses()) {
    if (fleet.TargetDocument(name).at("failure_domain") == "r1-a") {
      fleet.KillTarget(name);
    }
  }
  const json report = fleet.EndLoad(*load, "domain");
  CheckSound(report);
  CAPTURE(report.at("all").dump());
  CHECK(PartRefused(report) < 0.005);
}

TEST_CASE("a region dies under load and the others do what they can") {
  constexpr int kRegions = 3;
  constexpr int kSlots = 4;
  constexpr int kServiceMs = 20;
  constexpr double kCapacity = kRegions * kSlots * 1000.0 / kServiceMs;
  Fleet fleet(Plan(kRegions, 2, kRegions, kSlots, kServiceMs));
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  const double part = GENERATE(0.6, 0.9);
  CAPTURE(part);
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Load(key, kRegions, part * kCapacity, 10'000), "region");
  std::this_thread::sleep_for(Milliseconds(3000));
  fleet.KillEntry(fleet.entry("entry-r2-1"));
  fleet.KillEntry(fleet.entry("entry-r2-2"));
  for (const auto& [name, address] : fleet.target_addresses()) {
    if (fleet.TargetDocument(name).at("region") == "r2") {
      fleet.KillTarget(name);
    }
  }
  const int64_t killed_us = LastRunUs(fleet);
  const json report = fleet.EndLoad(*load, "region");
  CheckSound(report);
  // What the other regions could run in the time that was left.
  const double possible =
      std::min(part, (kRegions - 1.0) / kRegions) * kCapacity;
  const double seconds =
      static_cast<double>(LastRunUs(fleet) - killed_us) / 1e6;
  const RunCounts after = CountRuns(fleet, "", killed_us, INT64_MAX);
  CAPTURE(after.all, seconds, possible, report.at("all").dump());
  CHECK(after.all / seconds > 0.8 * possible);
}

}  // namespace
}  // namespace redwing::testing
