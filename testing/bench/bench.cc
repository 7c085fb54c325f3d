// redwing-bench: measurements of whole fleets. Reports figures, asserts
// nothing.

#include <fmt/format.h>

#include <algorithm>
#include <exception>
#include <functional>
#include <map>
#include <thread>

#include "apps/program_options.h"
#include "testing/harness/deployments.h"
#include "testing/harness/sync_client.h"
#include "testing/harness/windows.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

constexpr double kRate = 200;
constexpr double kBurst = 40;
constexpr int kRegions = 3;

// Command-line choices that scenarios share.
struct BenchOptions {
  int entries = 3;  // a region
  std::string strategy = "leased_shares";
  std::string choice = "least_outstanding";
  double part = 0.7;
  int seconds = 10;
};

json Group(const std::string& name,
           const std::string& key,
           const std::string& region,
           double rate,
           int from_ms,
           int until_ms,
           const json& request) {
  return {{"name", name},         {"key", key},         {"region", region},
          {"rate_per_s", rate},   {"from_ms", from_ms}, {"until_ms", until_ms},
          {"requests", {request}}};
}

const json& SmallRequest() {
  static const json request = {{"service", "svc"}, {"path", "/x"}};
  return request;
}

FleetPlan SmallFleet(const BenchOptions& options) {
  FleetPlan plan = SmallPlan(kRegions, options.entries, kRate, kBurst);
  plan.entry_settings["budget_strategy"] = options.strategy;
  plan.entry_settings["target_choice"] = options.choice;
  return plan;
}

json Load(const json& groups, int duration_ms) {
  return {{"duration_ms", duration_ms},
          {"max_tries", 2},
          {"timeout_ms", 5000},
          {"groups", groups}};
}

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

// All callers of a workspace at one region, then at another.
json Skew(const BenchOptions& options, double part) {
  Fleet fleet(SmallFleet(options));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const int half_ms = options.seconds * 500;
  const json load =
      fleet.RunLoad(Load({Group("first", alpha, "r1", part * kRate, 0, half_ms,
                                SmallRequest()),
                          Group("second", alpha, "r2", part * kRate, half_ms,
                                2 * half_ms, SmallRequest())},
                         2 * half_ms),
                    "skew");
  return BudgetReport(fleet, load, "alpha", kRate, kBurst);
}

// One workspace at five times its rate beside one at `part` of it.
json Noisy(const BenchOptions& options, double part) {
  Fleet fleet(SmallFleet(options));
  fleet.Start();
  const std::string alpha = fleet.IssueKey("alpha");
  const std::string beta = fleet.IssueKey("beta");
  json groups = json::array();
  const int duration_ms = options.seconds * 1000;
  for (int region = 1; region <= kRegions; ++region) {
    const std::string name = fmt::format("r{}", region);
    groups.push_back(Group("alpha@" + name, alpha, name, 5 * kRate / kRegions,
                           0, duration_ms, SmallRequest()));
    groups.push_back(Group("beta@" + name, beta, name, part * kRate / kRegions,
                           0, duration_ms, SmallRequest()));
  }
  const json load = fleet.RunLoad(Load(groups, duration_ms), "noisy");
  return {{"loud", BudgetReport(fleet, load, "alpha", kRate, kBurst)},
          {"quiet", BudgetReport(fleet, load, "beta", kRate, kBurst)}};
}

using Scenario = std::function<json(const BenchOptions&)>;

const std::map<std::string, Scenario>& Scenarios() {
  static const std::map<std::string, Scenario> scenarios = {
      {"skew-over", [](const BenchOptions& o) { return Skew(o, 3); }},
      {"skew-inside", [](const BenchOptions& o) { return Skew(o, 0.9); }},
      {"noisy", [](const BenchOptions& o) { return Noisy(o, o.part); }},
  };
  return scenarios;
}

int Run(int argc, char** argv) {
  CLI::App app("Measures whole fleets on loopback.");
  AddCommonOptions(app);
  std::vector<std::string> names;
  for (const auto& [name, scenario] : Scenarios()) {
    names.push_back(name);
  }
  std::vector<std::string> chosen;
  BenchOptions options;
  app.add_option("scenarios", chosen, "What to measure; all by default")
      ->check(CLI::IsMember(names));
  app.add_option("--entries", options.entries, "Entries in each region")
      ->check(CLI::Range(1, 40));
  app.add_option("--strategy", options.strategy, "Budget strategy");
  app.add_option("--choice", options.choice, "Target choice");
  app.add_option("--part", options.part, "Part of the rate or the slots");
  app.add_option("--seconds", options.seconds, "Length of each load")
      ->check(CLI::Range(2, 600));
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  for (const std::string& name : chosen.empty() ? names : chosen) {
    const json figures = Scenarios().at(name)(options);
    fmt::print("{}: {}\n", name, figures.dump(2));
    std::fflush(stdout);
  }
  return kExitOk;
}

}  // namespace

}  // namespace redwing::testing

int main(int argc, char** argv) {
  try {
    return redwing::testing::Run(argc, argv);
  } catch (const std::exception& exception) {
    fmt::print(stderr, "redwing-bench: {}\n", exception.what());
    return redwing::kExitFailed;
  }
}
