// redwing-bench: measurements of whole fleets. Reports figures, asserts
// nothing.

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
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

// Requests that keep connections busy: closed loops against one address.
json LoadOn(Fleet& fleet,
            const std::string& name,
            const std::vector<std::string>& addresses,
            bool direct,
            const std::string& key,
            const std::string& path,
            double rate,
            int seconds) {
  json group = {{"name", name},
                {"rate_per_s", rate},
                {"callers", 32},
                {"requests", {{{"service", "svc"}, {"path", path}}}}};
  if (!key.empty()) {
    group["key"] = key;
  }
  const json load = fleet.RunLoad({{"duration_ms", seconds * 1000},
                                   {"timeout_ms", 5000},
                                   {"direct", direct},
                                   {"entries", addresses},
                                   {"groups", json::array({group})}},
                                  name);
  const json& all = load.at("all");
  return {{"sent", all.at("sent")},       {"ok", all.at("ok")},
          {"p50_ms", all.at("p50_ms")},   {"p99_ms", all.at("p99_ms")},
          {"p999_ms", all.at("p999_ms")}, {"errors", all.at("errors")}};
}

// Sends `rate` requests a second by three generators at once; returns how many
// were sent.
double LoadAtOnce(Fleet& fleet,
                  const std::string& address,
                  const std::string& key,
                  const std::string& path,
                  double rate,
                  int seconds) {
  constexpr int kGenerators = 3;
  std::vector<std::unique_ptr<Process>> generators;
  for (int i = 0; i < kGenerators; ++i) {
    generators.push_back(fleet.BeginLoad(
        {{"duration_ms", seconds * 1000},
         {"timeout_ms", 5000},
         {"direct", true},
         {"seed", i + 1},
         {"entries", {address}},
         {"groups",
          {{{"name", "g"},
            {"key", key},
            {"rate_per_s", rate / kGenerators},
            {"callers", 32},
            {"requests", {{{"service", "svc"}, {"path", path}}}}}}}},
        fmt::format("at-once-{}", i)));
  }
  double sent = 0;
  for (int i = 0; i < kGenerators; ++i) {
    const json report = fleet.EndLoad(*generators[static_cast<size_t>(i)],
                                      fmt::format("at-once-{}", i));
    sent += report.at("all").at("sent").get<double>();
  }
  return sent;
}

// The same load straight to a target, through the proxy, and through an entry.
json AddedLatency(const BenchOptions& options) {
  FleetPlan plan = SmallPlan(1, 1, 100'000, 100'000);
  plan.targets = {{"svc", 1, 200, 1}};
  plan.delay_between_regions = Milliseconds(0);
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  std::this_thread::sleep_for(Milliseconds(3000));
  const std::string target = fleet.target_addresses().begin()->second;
  const std::string proxied = fleet.ProxiedTarget("svc-1");
  const std::string entry = fleet.entries().front().http_listen;
  constexpr double kLoad = 1000;
  return {{"straight", LoadOn(fleet, "straight", {target}, true, "", "/x",
                              kLoad, options.seconds)},
          {"proxy", LoadOn(fleet, "proxy", {proxied}, true, "", "/x", kLoad,
                           options.seconds)},
          {"entry", LoadOn(fleet, "entry", {entry}, true, key,
                           "/v1/services/svc/x", kLoad, options.seconds)}};
}

// Processor time of an entry for a carried request and for a look-up, and what
// they allow on one core; memory idle and with connections.
json Cost(const BenchOptions& options) {
  FleetPlan plan = SmallPlan(1, 1, 1e6, 1e6);
  plan.sections["network"]["regions"][0]["rate_per_s"] = 1e6;
  plan.sections["network"]["regions"][0]["burst"] = 1e5;
  plan.targets = {{"svc", 4, 500, 0}};
  plan.entry_settings["platform_timeout_ms"] = 2500;
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  std::this_thread::sleep_for(Milliseconds(3000));
  FleetEntry& entry = fleet.entries().front();
  json result = {{"idle_bytes", entry.process->ResidentBytes()}};
  const double idle_from = entry.process->CpuSeconds();
  std::this_thread::sleep_for(Milliseconds(3000));
  result["idle_cpu_part"] = (entry.process->CpuSeconds() - idle_from) / 3;
  // Look-ups are no answers of targets: the generator counts them as damaged,
  // what counts here is the processor time.
  for (const auto& [name, path] :
       {std::pair<std::string, std::string>{"carried", "/v1/services/svc/x"},
        {"lookups", "/v1/entry?service=svc"}}) {
    for (const double rate : {4000.0, 9000.0}) {
      const double from = entry.process->CpuSeconds();
      const double sent = LoadAtOnce(fleet, entry.http_listen, key, path, rate,
                                     options.seconds);
      const double cpu = entry.process->CpuSeconds() - from;
      result[fmt::format("{}_at_{}", name, rate)] = {
          {"sent", sent},
          {"busy_part", cpu / options.seconds},
          {"cpu_us_each", cpu / sent * 1e6},
          {"per_core", sent / cpu}};
    }
  }
  result["loaded_bytes"] = entry.process->ResidentBytes();
  return result;
}

// Memory of an entry with open connections.
json Connections(const BenchOptions& /*options*/) {
  constexpr int kConnections = 360;
  FleetPlan plan = SmallPlan(1, 1, 1e6, 1e6);
  plan.targets = {{"svc", 4, 500, 300}};
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("alpha");
  std::this_thread::sleep_for(Milliseconds(3000));
  FleetEntry& entry = fleet.entries().front();
  const size_t idle = entry.process->ResidentBytes();
  const std::unique_ptr<Process> load = fleet.BeginLoad(
      {{"duration_ms", 3000},
       {"direct", true},
       {"entries", {entry.http_listen}},
       {"groups",
        {{{"name", "connections"},
          {"key", key},
          {"rate_per_s", kConnections / 0.3},
          {"requests",
           {{{"service", "svc"}, {"path", "/v1/services/svc/x"}}}}}}}},
      "connections");
  std::this_thread::sleep_for(Milliseconds(2000));
  const double accepted = fleet.Counter(entry, "redwing_http_accepted_total");
  const size_t busy = entry.process->ResidentBytes();
  fleet.EndLoad(*load, "connections");
  return {{"idle_bytes", idle},
          {"busy_bytes", busy},
          {"connections_accepted", accepted}};
}

// What control costs an idle entry: processor time, datagrams, store calls.
json Control(const BenchOptions& options) {
  json result = json::array();
  for (const int entries : {1, 2, 4, 7}) {
    FleetPlan plan = SmallFleet(options);
    for (FleetRegion& region : plan.regions) {
      region.entries = entries;
    }
    Fleet fleet(plan);
    fleet.Start();
    std::this_thread::sleep_for(Milliseconds(6000));
    FleetEntry& entry = fleet.entries().back();
    const auto calls = [&fleet]() {
      double sum = 0;
      const json counts =
          CallJson(http::verb::get, fleet.platform(), "/_control/calls");
      for (const json& count : counts) {
        sum += count.get<double>();
      }
      return sum;
    };
    const double calls_from = calls();
    const double cpu_from = entry.process->CpuSeconds();
    const double sent_from =
        fleet.Counter(entry, "redwing_peer_sent_bytes_total");
    std::this_thread::sleep_for(Milliseconds(1000 * options.seconds));
    const double seconds = options.seconds;
    result.push_back(
        {{"instances", kRegions * entries},
         {"cpu_part", (entry.process->CpuSeconds() - cpu_from) / seconds},
         {"peer_bytes_per_s",
          (fleet.Counter(entry, "redwing_peer_sent_bytes_total") - sent_from) /
              seconds},
         {"store_calls_per_s", (calls() - calls_from) / seconds},
         {"resident_bytes", entry.process->ResidentBytes()}});
  }
  return result;
}

// Time in the system, in ms, at the given parts of all requests, of an ideal
// queue: one for all slots, served in order, without any way between.
json IdealQueue(double rate, int slots, double service_s, int requests) {
  std::mt19937_64 random(1);
  std::exponential_distribution<double> gap(rate);
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (int i = 0; i < slots; ++i) {
    free_at.push(0);
  }
  std::vector<double> times_ms;
  times_ms.reserve(static_cast<size_t>(requests));
  double at = 0;
  for (int i = 0; i < requests; ++i) {
    at += gap(random);
    const double end = std::max(at, free_at.top()) + service_s;
    free_at.pop();
    free_at.push(end);
    times_ms.push_back((end - at) * 1000);
  }
  std::sort(times_ms.begin(), times_ms.end());
  const auto quantile = [&times_ms](double part) {
    return times_ms[static_cast<size_t>(
        part * static_cast<double>(times_ms.size() - 1))];
  };
  return {{"p50_ms", quantile(0.5)},
          {"p99_ms", quantile(0.99)},
          {"p999_ms", quantile(0.999)}};
}

// Latency at `part` of the slots of the registry's look-up service.
json Choice(const BenchOptions& options) {
  FleetPlan plan = RegistryPlan(3);
  plan.entry_settings["target_choice"] = options.choice;
  for (json& workspace : plan.sections["workspaces"]["workspaces"]) {
    workspace["rate_per_s"] = 100'000;
    workspace["burst"] = 10'000;
  }
  Fleet fleet(plan);
  fleet.Start();
  const std::string key = fleet.IssueKey("maine-patrol");
  std::this_thread::sleep_for(Milliseconds(3000));
  constexpr int kSlots = 12 * 3;
  constexpr double kServiceSeconds = 0.012;
  const double rate = options.part * kSlots / kServiceSeconds;
  json groups = json::array();
  for (const FleetRegion& region : plan.regions) {
    groups.push_back(Group("at-" + region.name, key, region.name, rate / 3, 0,
                           options.seconds * 1000,
                           {{"service", "lookup-svc"}, {"path", "/tags/1"}}));
  }
  const json load =
      fleet.RunLoad(Load(groups, options.seconds * 1000), "choice");
  // Callers to entry and entry to target, there and back.
  const double way_ms =
      2 * static_cast<double>(
              (plan.delay_to_clients + plan.delay_in_region).count());
  return {{"choice", options.choice},
          {"part", options.part},
          {"measured", load.at("all")},
          {"way_ms", way_ms},
          {"ideal_without_way",
           IdealQueue(rate, kSlots, kServiceSeconds,
                      static_cast<int>(rate * options.seconds))}};
}

using Scenario = std::function<json(const BenchOptions&)>;

const std::map<std::string, Scenario>& Scenarios() {
  static const std::map<std::string, Scenario> scenarios = {
      {"skew-over", [](const BenchOptions& o) { return Skew(o, 3); }},
      {"skew-inside", [](const BenchOptions& o) { return Skew(o, 0.9); }},
      {"latency", AddedLatency},
      {"cost", Cost},
      {"connections", Connections},
      {"control", Control},
      {"choice", Choice},
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
  return redwing::RunProgram("redwing-bench", &redwing::testing::Run, argc,
                             argv);
}
