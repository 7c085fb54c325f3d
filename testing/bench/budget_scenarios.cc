#include <fmt/format.h>

#include <algorithm>
#include <thread>

#include "testing/bench/scenarios.h"
#include "testing/harness/sync_client.h"
#include "testing/harness/windows.h"

namespace redwing::testing {

using nlohmann::json;

namespace {

// Admissions in each second of a run.
std::vector<int> PerSecond(const std::vector<double>& times) {
  std::vector<int> counts;
  for (const double time : times) {
    const size_t second = static_cast<size_t>(time - times.front());
    counts.resize(std::max(counts.size(), second + 1));
    ++counts[second];
  }
  return counts;
}

json BudgetReport(Fleet& fleet,
                  const json& load,
                  const std::string& workspace,
                  double rate,
                  double burst) {
  const std::vector<double> times = RunTimes(fleet.Runs(), workspace);
  json shares = json::object();
  for (const FleetEntry& entry : fleet.entries()) {
    const json status = fleet.StatusOf(entry);
    for (const json& budget : status.at("budgets")) {
      if (budget.at("name") == "workspace/" + workspace) {
        shares[entry.name] = {budget.at("own_share"), budget.at("lent_share"),
                              budget.at("borrowed_share")};
      }
    }
  }
  json errors = json::object();
  for (auto group = load.at("groups").begin(); group != load.at("groups").end();
       ++group) {
    errors[group.key()] = {{"sent", group->at("sent")},
                           {"ok", group->at("ok")},
                           {"p50_ms", group->at("p50_ms")},
                           {"p99_ms", group->at("p99_ms")},
                           {"errors", group->at("errors")}};
  }
  return {{"admitted", times.size()},
          {"worst_overrun", WorstOverrun(times, rate, burst)},
          {"per_second", PerSecond(times)},
          {"own_lent_borrowed", shares},
          {"groups", errors}};
}

}  // namespace

json MeasureSkew(const BenchOptions& options, double part) {
  Fleet fleet(SmallFleet(options));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const int half_ms = options.seconds * 500;
  const json load = fleet.RunLoad(
      LoadSettings({Group("first", alpha, "r1", part * kBenchRate, 0, half_ms,
                          SmallRequest()),
                    Group("second", alpha, "r2", part * kBenchRate, half_ms,
                          2 * half_ms, SmallRequest())},
                   2 * half_ms),
      "skew");
  return BudgetReport(fleet, load, "alpha", kBenchRate, kBenchBurst);
}

json MeasureNoisy(const BenchOptions& options) {
  Fleet fleet(SmallFleet(options));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::string beta = fleet.IssueKey("beta");
  json groups = json::array();
  const int duration_ms = options.seconds * 1000;
  for (int region = 1; region <= kBenchRegions; ++region) {
    const std::string name = fmt::format("r{}", region);
    groups.push_back(Group("alpha@" + name, alpha, name,
                           5 * kBenchRate / kBenchRegions, 0, duration_ms,
                           SmallRequest()));
    groups.push_back(Group("beta@" + name, beta, name,
                           options.part * kBenchRate / kBenchRegions, 0,
                           duration_ms, SmallRequest()));
  }
  const json load = fleet.RunLoad(LoadSettings(groups, duration_ms), "noisy");
  return {
      {"loud", BudgetReport(fleet, load, "alpha", kBenchRate, kBenchBurst)},
      {"quiet", BudgetReport(fleet, load, "beta", kBenchRate, kBenchBurst)}};
}

json MeasureShift(const BenchOptions& options) {
  FleetPlan plan = RempahPlan(3);
  for (json& workspace : plan.sections["workspaces"]["workspaces"]) {
    workspace["rate_per_s"] = 100'000;
    workspace["burst"] = 10'000;
  }
  Fleet fleet(plan);
  fleet.Start();
  const std::string workspace =
      plan.sections["workspaces"]["workspaces"][0]["name"];
  const std::string key = fleet.IssueKey(workspace);
  // The drained region's callers ask for `part` of what its two links carry.
  constexpr double kCapBytes = 280e6 / 8;
  constexpr double kAnswerBytes = 64 * 1024;
  const double rate = options.part * 2 * kCapBytes / kAnswerBytes;
  const int duration_ms = options.seconds * 1000;
  const std::string& region = plan.regions.front().name;
  const json request = {{"service", "buku-resipi"},
                        {"path", "/pages/1"},
                        {"response_bytes", static_cast<int>(kAnswerBytes)}};
  const std::unique_ptr<Process> load = fleet.BeginLoad(
      LoadSettings(json::array({Group("shifted", key, region, rate, 0,
                                      duration_ms, request)}),
                   duration_ms),
      "shift");
  std::this_thread::sleep_for(Milliseconds(duration_ms / 4));
  CallJson(http::verb::post, fleet.admin(), "/v1/drains",
           {{"kind", "regions"}, {"name", region}, {"drained", true}},
           fleet.root_key());
  const json report = fleet.EndLoad(*load, "shift");
  json links = json::object();
  for (const json& meter :
       CallJson(http::verb::get, fleet.proxy(), "/_control/meters")) {
    const int from = meter.at("from");
    const int to = meter.at("to");
    if (from != 0 && to != 0 && from != to) {
      links[fmt::format("{}-{}", from, to)] =
          WorstSecond(meter.at("tenths")) / kCapBytes;
    }
  }
  return {{"rate_per_s", rate},
          {"worst_second_of_cap", links},
          {"load", report.at("all")}};
}

}  // namespace redwing::testing
