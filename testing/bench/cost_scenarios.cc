#include <fmt/format.h>

#include <algorithm>
#include <queue>
#include <random>
#include <thread>

#include "testing/bench/scenarios.h"
#include "testing/harness/sync_client.h"

namespace redwing::testing {

using nlohmann::json;

namespace {

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
  generators.reserve(kGenerators);
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

// Time in the system, in ms, at the given parts of all requests, of an ideal
// queue: one for all slots, served in order, without any way between.
json IdealQueue(double rate, int slots, double service_s, int requests) {
  std::mt19937_64 random(1);
  std::exponential_distribution<double> gap(rate);
  std::exponential_distribution<double> rest(1);
  std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
  for (int i = 0; i < slots; ++i) {
    free_at.push(0);
  }
  std::vector<double> times_ms;
  times_ms.reserve(static_cast<size_t>(requests));
  double at = 0;
  for (int i = 0; i < requests; ++i) {
    at += gap(random);
    // As fake targets do: half of it is fixed, half exponential.
    const double service = service_s * (0.5 + 0.5 * rest(random));
    const double end = std::max(at, free_at.top()) + service;
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

}  // namespace

json MeasureLatency(const BenchOptions& options) {
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

json MeasureCost(const BenchOptions& options) {
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

json MeasureConnections(const BenchOptions& /*options*/) {
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

json MeasureChoice(const BenchOptions& options) {
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
      fleet.RunLoad(LoadSettings(groups, options.seconds * 1000), "choice");
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

}  // namespace redwing::testing
