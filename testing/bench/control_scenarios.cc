#include <algorithm>
#include <thread>

#include "testing/bench/scenarios.h"
#include "testing/harness/sync_client.h"

namespace redwing::testing {

using nlohmann::json;

namespace {

// Callers of all regions that send small requests of one workspace.
json Everywhere(const std::string& key, double rate, int duration_ms) {
  json groups = json::array();
  for (int region = 1; region <= kBenchRegions; ++region) {
    const std::string name = "r" + std::to_string(region);
    groups.push_back(Group("at-" + name, key, name, rate / kBenchRegions, 0,
                           duration_ms, SmallRequest()));
  }
  return LoadSettings(groups, duration_ms);
}

double Quantile(std::vector<double> values, double part) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0
                        : values[static_cast<size_t>(
                              part * static_cast<double>(values.size() - 1))];
}

json Quantiles(const std::vector<double>& values) {
  return {{"count", values.size()},
          {"p50_ms", Quantile(values, 0.5)},
          {"p90_ms", Quantile(values, 0.9)},
          {"worst_ms", Quantile(values, 1)}};
}

// Peers of three regions lose this part of their datagrams.
void LosePeerDatagrams(const Fleet& fleet, double part) {
  json rules = json::array();
  for (int from = 1; from <= kBenchRegions; ++from) {
    for (int to = 1; to <= kBenchRegions; ++to) {
      rules.push_back({{"from", from}, {"to", to}, {"loss", part}});
    }
  }
  fleet.SetRules(rules);
}

// Eleven instances in three regions, as each user has them today.
FleetPlan ElevenInstances(const BenchOptions& options) {
  FleetPlan plan = SmallFleet(options);
  plan.regions[0].entries = 4;
  plan.regions[1].entries = 4;
  plan.regions[2].entries = 3;
  return plan;
}

int64_t LastRunUs(const Fleet& fleet) {
  const json runs = fleet.Runs();
  return runs.empty() ? 0 : runs.back().at(0).get<int64_t>();
}

}  // namespace

json MeasureControl(const BenchOptions& options) {
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
        {{"instances", kBenchRegions * entries},
         {"cpu_part", (entry.process->CpuSeconds() - cpu_from) / seconds},
         {"peer_bytes_per_s",
          (fleet.Counter(entry, "redwing_peer_sent_bytes_total") - sent_from) /
              seconds},
         {"store_calls_per_s", (calls() - calls_from) / seconds},
         {"resident_bytes", entry.process->ResidentBytes()}});
  }
  return result;
}

json MeasureSpread(const BenchOptions& options) {
  Fleet fleet(ElevenInstances(options));
  fleet.Start();
  LosePeerDatagrams(fleet, options.loss);
  std::vector<double> times_ms;
  const int edits = options.seconds * 4;
  for (int revision = 0; revision < edits; ++revision) {
    CallJson(http::verb::put, fleet.admin(), "/v1/sections/bench",
             {{"from_revision", revision},
              {"body", {{"team", "t" + std::to_string(revision)}}}},
             fleet.root_key());
    const TimePoint accepted = Clock::now();
    for (const FleetEntry& entry : fleet.entries()) {
      while (fleet.StatusOf(entry)
                 .at("revisions")
                 .value("section.bench", uint64_t{0}) <
             static_cast<uint64_t>(revision) + 1) {
        std::this_thread::sleep_for(Milliseconds(1));
      }
    }
    times_ms.push_back(ToSeconds(Clock::now() - accepted) * 1000);
    std::this_thread::sleep_for(Milliseconds(100));
  }
  return {{"instances", fleet.entries().size()},
          {"peer_loss", options.loss},
          {"to_force", Quantiles(times_ms)}};
}

json MeasureWithdrawal(const BenchOptions& options) {
  FleetPlan plan = ElevenInstances(options);
  for (json& workspace : plan.sections["workspaces"]["workspaces"]) {
    workspace["rate_per_s"] = 5000;
    workspace["burst"] = 1000;
  }
  Fleet fleet(plan);
  fleet.Start();
  LosePeerDatagrams(fleet, options.loss);
  std::vector<double> times_ms;
  for (int i = 0; i < options.seconds; ++i) {
    const std::string key = fleet.IssueKey("alpha");
    const std::string name = "withdrawn-" + std::to_string(i);
    const std::unique_ptr<Process> load =
        fleet.BeginLoad(Everywhere(key, 600, 2500), name);
    std::this_thread::sleep_for(Milliseconds(1000));
    const int64_t from_us = LastRunUs(fleet);
    constexpr size_t kIdStart = 4;
    constexpr size_t kIdSize = 16;
    CallJson(http::verb::delete_, fleet.admin(),
             "/v1/keys/" + key.substr(kIdStart, kIdSize), nullptr,
             fleet.root_key());
    fleet.EndLoad(*load, name);
    times_ms.push_back(static_cast<double>(LastRunUs(fleet) - from_us) / 1000);
  }
  return {{"instances", fleet.entries().size()},
          {"peer_loss", options.loss},
          {"to_last_run", Quantiles(times_ms)}};
}

}  // namespace redwing::testing
