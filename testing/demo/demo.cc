// redwing-demo: a fleet of the registry's size on loopback, under load.

#include <fmt/format.h>

#include <map>

#include "apps/program_options.h"
#include "testing/harness/deployments.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

constexpr int kDefaultSeconds = 30;

json RequestKind(const std::string& service,
                 const std::string& method,
                 const std::string& path,
                 bool keyed,
                 int bytes) {
  return {{"service", service},
          {"method", method},
          {"path", path},
          {"keyed", keyed},
          {"body_bytes", keyed ? 200 : 0},
          {"response_bytes", bytes}};
}

// Callers of each workspace in each region, at `part` of the workspace's rate.
json Groups(Fleet& fleet, const FleetPlan& plan, double part) {
  const std::map<std::string, json> kinds = {
      {"lookup-svc", RequestKind("lookup-svc", "GET", "/tags/1", false, 0)},
      {"lookup-svc/tag", RequestKind("lookup-svc", "GET", "/tags/1", false, 0)},
      {"ledger-svc", RequestKind("ledger-svc", "POST", "/transfers", true, 0)},
      {"history-svc",
       RequestKind("history-svc", "GET", "/seasons/1", false, 65536)}};
  json groups = json::array();
  for (const json& workspace :
       plan.sections.at("workspaces").at("workspaces")) {
    const std::string name = workspace.at("name");
    const std::string key = fleet.IssueKey(name);
    json requests = json::array();
    for (const json& service : workspace.at("may_call")) {
      requests.push_back(kinds.at(service));
    }
    for (const FleetRegion& region : plan.regions) {
      groups.push_back(
          {{"name", name + "@" + region.name},
           {"key", key},
           {"region", region.name},
           {"rate_per_s", workspace.at("rate_per_s").get<double>() * part / 3},
           {"requests", requests}});
    }
  }
  return groups;
}

int Run(int argc, char** argv) {
  CLI::App app(
      "Starts a fleet of the registry's size on loopback, sends it load, and "
      "prints a report. Fails if a request was not answered.");
  AddCommonOptions(app);
  int seconds = kDefaultSeconds;
  double part = 0.5;
  app.add_option("--seconds", seconds, "Length of the load")
      ->check(CLI::Range(1, 3600));
  app.add_option("--part", part, "Part of each workspace's rate to send")
      ->check(CLI::Range(0.01, 10.0));
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  FleetPlan plan = RegistryPlan(3);
  plan.regions.front().entries = 4;
  fmt::print("starting {} regions, 10 entries, 38 targets\n",
             plan.regions.size());
  Fleet fleet(plan);
  fleet.Start();
  const json groups = Groups(fleet, plan, part);
  fmt::print("sending load for {} s\n", seconds);
  const json report = fleet.RunLoad(
      {{"duration_ms", seconds * 1000}, {"groups", groups}}, "demo");
  const json& all = report.at("all");
  const json& joined = report.at("joined");
  for (auto group = report.at("groups").begin();
       group != report.at("groups").end(); ++group) {
    fmt::print("{:<28} sent {:>6} ok {:>6} p50 {:>7.1f} ms p99 {:>7.1f} ms\n",
               group.key(), group->at("sent").get<int>(),
               group->at("ok").get<int>(), group->at("p50_ms").get<double>(),
               group->at("p99_ms").get<double>());
  }
  fmt::print("all: {}\njoined with the targets: {}\n", all.dump(),
             joined.dump());
  for (const json& failed : report.at("failed")) {
    fmt::print("failed: {}\n", failed.dump());
  }
  const bool answered = all.at("ok") == all.at("sent");
  const bool sound = joined.at("doubled") == 0 && joined.at("lost") == 0 &&
                     joined.at("false_not_run") == 0 &&
                     joined.at("keys_seen_by_targets") == 0;
  return sound && answered ? kExitOk : kExitFailed;
}

}  // namespace

}  // namespace redwing::testing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-demo", &redwing::testing::Run, argc,
                             argv);
}
