// No workspace gets more than its rate and burst over all instances together,
// and one that stays inside is hardly refused. Judged by what targets received.

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"
#include "testing/harness/windows.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr double kRate = 200;
constexpr double kBurst = 40;
constexpr int kRegions = 3;
constexpr int kEntries = 3;

json Group(const std::string& name,
           const std::string& key,
           int region,
           double rate,
           int from_ms,
           int until_ms) {
  return {{"name", name},
          {"key", key},
          {"region", "r" + std::to_string(region)},
          {"rate_per_s", rate},
          {"from_ms", from_ms},
          {"until_ms", until_ms},
          {"requests", {{{"service", "svc"}, {"path", "/x"}}}}};
}

// Callers of all regions that together send `rate`.
json Everywhere(const std::string& name,
                const std::string& key,
                double rate,
                int until_ms) {
  json groups = json::array();
  for (int region = 1; region <= kRegions; ++region) {
    groups.push_back(Group(name + "@" + std::to_string(region), key, region,
                           rate / kRegions, 0, until_ms));
  }
  return groups;
}

json Settings(const json& groups, int duration_ms) {
  return {{"duration_ms", duration_ms},
          {"max_tries", 2},
          {"timeout_ms", 5000},
          {"groups", groups}};
}

// Runs that were stamped after a stall of the stand-ins may have come earlier.
void CheckNoOverrun(const Fleet& fleet, const std::string& workspace) {
  const json runs = fleet.Runs();
  const std::vector<Stall> stalls = fleet.Stalls();
  const std::vector<double> times = RunTimes(runs, workspace);
  const std::vector<double> arrivals = ArrivalTimes(runs, workspace);
  CAPTURE(workspace, times.size(), stalls.size(), LongestStall(stalls));
  CAPTURE(WorstOverrun(arrivals, kRate, kBurst, stalls));
  CAPTURE(WorstOverrun(times, kRate, kBurst));
  CHECK_FALSE(times.empty());
  CHECK(WorstOverrun(times, kRate, kBurst, stalls) <= 0);
}

double RefusedPart(const json& summary) {
  const double sent = summary.at("sent");
  const double ok = summary.at("ok");
  return (sent - ok) / sent;
}

TEST_CASE("far more than the rate, by all instances, admits no more than it") {
  Fleet fleet(SmallPlan(kRegions, kEntries, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::string beta = fleet.IssueKey("beta");
  json groups = Everywhere("alpha", alpha, 5 * kRate, 8000);
  const json quiet = Everywhere("beta", beta, 0.9 * kRate, 8000);
  groups.insert(groups.end(), quiet.begin(), quiet.end());
  const json report = fleet.RunLoad(Settings(groups, 8000), "noisy");
  const json runs = fleet.Runs();
  CheckNoOverrun(fleet, "alpha");
  CheckNoOverrun(fleet, "beta");
  // The rate itself is used.
  CHECK(RunTimes(runs, "alpha").size() > 0.8 * kRate * 8);
  CHECK(report.at("joined").at("false_not_run") == 0);
  CHECK(report.at("joined").at("lost") == 0);
}

TEST_CASE("all callers at one instance, then all in another region") {
  FleetPlan plan = SmallPlan(kRegions, kEntries, kRate, kBurst);
  Fleet fleet(plan);
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  json settings = Settings({Group("first", alpha, 1, 3 * kRate, 0, 5000),
                            Group("second", alpha, 2, 3 * kRate, 5000, 10'000)},
                           10'000);
  const json report = fleet.RunLoad(settings, "skew");
  const json runs = fleet.Runs();
  CheckNoOverrun(fleet, "alpha");
  CHECK(RunTimes(runs, "alpha").size() > 0.8 * kRate * 10);
  CHECK(report.at("joined").at("false_not_run") == 0);
}

TEST_CASE("an instance paused in the middle of lending, then killed") {
  Fleet fleet(SmallPlan(kRegions, kEntries, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const int pause_ms = GENERATE(1000, 5000, 30'000);
  // The store is there, or not in the middle of it all.
  const std::string store = GENERATE("ok", "down");
  CAPTURE(pause_ms, store);
  const int duration_ms = pause_ms + 9000;
  const std::unique_ptr<Process> load = fleet.BeginLoad(
      Settings(Everywhere("alpha", alpha, 3 * kRate, duration_ms), duration_ms),
      "paused");
  FleetEntry& paused = fleet.entry("entry-r1-1");
  FleetEntry& killed = fleet.entry("entry-r2-1");
  std::this_thread::sleep_for(Milliseconds(2000));
  fleet.SetPlatformFault({{"mode", store}});
  paused.process->Signal(SIGSTOP);
  std::this_thread::sleep_for(Milliseconds(pause_ms));
  paused.process->Signal(SIGCONT);
  std::this_thread::sleep_for(Milliseconds(1000));
  killed.process->Kill();
  std::this_thread::sleep_for(Milliseconds(500));
  // On the same address, as a restarted process is.
  fleet.StartEntry(killed);
  fleet.EndLoad(*load, "paused");
  CheckNoOverrun(fleet, "alpha");
}

// Returns the names of the instances that own a share, from the store.
std::vector<std::string> Owners(Fleet& fleet) {
  const json stored = CallJson(
      http::verb::get, fleet.platform(),
      "/apis/redwingcart.io/v1/namespaces/default/redwingstates/shares");
  std::vector<std::string> owners;
  for (const auto& [name, holder] : stored.at("spec").at("body").items()) {
    owners.push_back(name);
  }
  return owners;
}

// Four of a region's instances own shares; the others draw tokens from them.
TEST_CASE("more instances than own shares admit no more than the rate") {
  constexpr int kMany = 7;
  constexpr size_t kMostOwners = 4;
  Fleet fleet(SmallPlan(1, kMany, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::string beta = fleet.IssueKey("beta");
  json groups = {Group("alpha", alpha, 1, 3 * kRate, 0, 12'000),
                 Group("beta", beta, 1, 0.5 * kRate, 0, 12'000)};
  const std::unique_ptr<Process> load =
      fleet.BeginLoad(Settings(groups, 12'000), "drawn");
  std::this_thread::sleep_for(Milliseconds(3000));
  const std::vector<std::string> owners = Owners(fleet);
  CHECK(owners.size() == kMostOwners);
  // One that owns is paused for longer than its leases and draws last, then
  // another one is killed and started again.
  FleetEntry& paused = fleet.entry(owners.front());
  FleetEntry& killed = fleet.entry(owners.back());
  paused.process->Signal(SIGSTOP);
  std::this_thread::sleep_for(Milliseconds(2500));
  paused.process->Signal(SIGCONT);
  std::this_thread::sleep_for(Milliseconds(1000));
  killed.process->Kill();
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.StartEntry(killed);
  fleet.EndLoad(*load, "drawn");
  const json runs = fleet.Runs();
  CheckNoOverrun(fleet, "alpha");
  CheckNoOverrun(fleet, "beta");
  CHECK(RunTimes(runs, "alpha").size() > 0.5 * kRate * 12);
}

TEST_CASE("instances that own no share are not refused inside the rate") {
  constexpr int kMany = 7;
  Fleet fleet(SmallPlan(1, kMany, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const json groups =
      json::array({Group("alpha", alpha, 1, 0.5 * kRate, 0, 8'000)});
  const json report = fleet.RunLoad(Settings(groups, 8'000), "inside");
  CheckNoOverrun(fleet, "alpha");
  CHECK(RefusedPart(report.at("groups").at("alpha")) <= 0.001);
}

TEST_CASE("an instance leaves the list for good and its share is taken over") {
  Fleet fleet(SmallPlan(kRegions, kEntries, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load = fleet.BeginLoad(
      Settings(Everywhere("alpha", alpha, 3 * kRate, 22'000), 22'000),
      "replaced");
  FleetEntry& gone = fleet.entry("entry-r3-2");
  std::this_thread::sleep_for(Milliseconds(2000));
  gone.process->Signal(SIGSTOP);
  fleet.List(gone, false, true);
  const auto released = [&fleet]() {
    const json stored = CallJson(
        http::verb::get, fleet.platform(),
        "/apis/redwingcart.io/v1/namespaces/default/redwingstates/shares");
    return !stored.at("spec").at("body").contains("entry-r3-2");
  };
  CHECK(WaitUntil(released, Milliseconds(25'000)));
  // The paused one comes back with its share long gone.
  gone.process->Signal(SIGCONT);
  fleet.EndLoad(*load, "replaced");
  CheckNoOverrun(fleet, "alpha");
}

TEST_CASE("lost, repeated and reordered datagrams, the store slow or down") {
  Fleet fleet(SmallPlan(kRegions, kEntries, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::string beta = fleet.IssueKey("beta");
  json rules = json::array();
  for (int from = 1; from <= kRegions; ++from) {
    for (int to = 1; to <= kRegions; ++to) {
      rules.push_back({{"from", from},
                       {"to", to},
                       {"loss", 0.2},
                       {"duplicate", 0.2},
                       {"reorder", 0.2}});
    }
  }
  fleet.SetRules(rules);
  const json fault = GENERATE(json{{"mode", "down"}}, json{{"delay_ms", 2000}},
                              json{{"mode", "lose_answers"}});
  CAPTURE(fault.dump());
  fleet.SetPlatformFault(fault);
  json groups = Everywhere("alpha", alpha, 3 * kRate, 8000);
  const json inside = Everywhere("beta", beta, 0.7 * kRate, 8000);
  groups.insert(groups.end(), inside.begin(), inside.end());
  const json report = fleet.RunLoad(Settings(groups, 8000), "lossy");
  const json runs = fleet.Runs();
  CheckNoOverrun(fleet, "alpha");
  CheckNoOverrun(fleet, "beta");
  CHECK(report.at("joined").at("false_not_run") == 0);
  double dropped = 0;
  for (const FleetEntry& entry : fleet.entries()) {
    dropped += fleet.Counter(entry, "redwing_peer_dropped_total");
  }
  // Repeated datagrams are told from new ones.
  CHECK(dropped > 100);
}

TEST_CASE("a region cut off does not let the fleet exceed the rate") {
  Fleet fleet(SmallPlan(kRegions, kEntries, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load = fleet.BeginLoad(
      Settings(Everywhere("alpha", alpha, 3 * kRate, 12'000), 12'000), "cut");
  std::this_thread::sleep_for(Milliseconds(2000));
  const json fault = GENERATE(json{{"mode", "ok"}}, json{{"mode", "down"}},
                              json{{"mode", "lose_answers"}});
  CAPTURE(fault.dump());
  fleet.SetPlatformFault(fault);
  fleet.SetRulesAround(3, {{"cut", true}});
  std::this_thread::sleep_for(Milliseconds(6000));
  fleet.SetRulesAround(3, {{"cut", false}});
  fleet.EndLoad(*load, "cut");
  CheckNoOverrun(fleet, "alpha");
}

TEST_CASE("what waited for slots is not let go in a bunch") {
  Fleet fleet(SmallPlan(kRegions, kEntries, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load = fleet.BeginLoad(
      Settings(Everywhere("alpha", alpha, 0.9 * kRate, 9000), 9000), "stalled");
  for (int stall = 0; stall < 3; ++stall) {
    std::this_thread::sleep_for(Milliseconds(1200));
    // Fewer requests end than come in, and wait; then they end at once.
    fleet.SetTargets({{"service_ms", 900}});
    std::this_thread::sleep_for(Milliseconds(1000));
    fleet.SetTargets({{"service_ms", 2}});
  }
  fleet.EndLoad(*load, "stalled");
  // Counted as they arrive: what the fleet sends evenly may still wait in a
  // target's own queue, which empties at once when the stall ends.
  const std::vector<double> arrivals = ArrivalTimes(fleet.Runs(), "alpha");
  CHECK(arrivals.size() > 0.5 * kRate);
  CHECK(WorstOverrun(arrivals, kRate, kBurst, fleet.Stalls()) <= 0);
}

TEST_CASE("a rate halved in the middle of the run is in force in seconds") {
  FleetPlan plan = SmallPlan(kRegions, kEntries, kRate, kBurst);
  Fleet fleet(plan);
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::unique_ptr<Process> load = fleet.BeginLoad(
      Settings(Everywhere("alpha", alpha, 3 * kRate, 10'000), 10'000),
      "halved");
  std::this_thread::sleep_for(Milliseconds(3000));
  json body = plan.sections.at("workspaces");
  body["workspaces"][0]["rate_per_s"] = kRate / 2;
  body["workspaces"][0]["burst"] = kBurst / 2;
  CallJson(http::verb::put, fleet.admin(), "/v1/sections/workspaces",
           {{"from_revision", 1}, {"body", body}}, fleet.root_key());
  const json before = fleet.Runs();
  const size_t runs_before = RunTimes(before, "alpha").size();
  fleet.EndLoad(*load, "halved");
  std::vector<double> times = RunTimes(fleet.Runs(), "alpha");
  const std::vector<Stall> stalls = fleet.Stalls();
  CHECK(WorstOverrun(times, kRate, kBurst, stalls) <= 0);
  // From two seconds after the edit, the new rate holds over every window.
  const double edited_at = times.at(runs_before - 1);
  times.erase(times.begin(),
              std::upper_bound(times.begin(), times.end(), edited_at + 2));
  CHECK(times.size() > 0.3 * kRate);
  CHECK(WorstOverrun(times, kRate / 2, kBurst / 2, stalls) <= 0);
}

TEST_CASE("a workspace inside its rate is refused nothing beside a loud one") {
  Fleet fleet(SmallPlan(kRegions, kEntries, kRate, kBurst));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::string beta = fleet.IssueKey("beta");
  // Shares find their holders in the first two seconds.
  fleet.RunLoad(Settings(Everywhere("beta", beta, 0.7 * kRate, 2000), 2000),
                "warm");
  json groups = Everywhere("alpha", alpha, 5 * kRate, 8000);
  const json quiet = Everywhere("beta", beta, 0.7 * kRate, 8000);
  groups.insert(groups.end(), quiet.begin(), quiet.end());
  const json report = fleet.RunLoad(Settings(groups, 8000), "fair");
  double refused = 0;
  for (int region = 1; region <= kRegions; ++region) {
    const json& summary =
        report.at("groups").at("beta@" + std::to_string(region));
    CAPTURE(summary.dump());
    refused += RefusedPart(summary) / kRegions;
  }
  CHECK(refused < 0.01);
}

}  // namespace
}  // namespace redwing::testing
