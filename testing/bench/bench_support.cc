#include "testing/bench/bench_support.h"

namespace redwing::testing {

using nlohmann::json;

json Group(const std::string& name,
           const std::string& key,
           const std::string& region,
           double rate,
           int from_ms,
           int until_ms,
           const json& request) {
  return {{"name", name},
          {"key", key},
          {"region", region},
          {"rate_per_s", rate},
          {"callers", kBenchCallers},
          {"from_ms", from_ms},
          {"until_ms", until_ms},
          {"requests", {request}}};
}

const json& SmallRequest() {
  static const json request = {{"service", "svc"}, {"path", "/x"}};
  return request;
}

FleetPlan SmallFleet(const BenchOptions& options) {
  FleetPlan plan =
      SmallPlan(kBenchRegions, options.entries, kBenchRate, kBenchBurst);
  plan.entry_settings["budget_strategy"] = options.strategy;
  plan.entry_settings["target_choice"] = options.choice;
  return plan;
}

json LoadSettings(const json& groups, int duration_ms) {
  return {{"duration_ms", duration_ms},
          {"max_tries", 2},
          {"timeout_ms", 5000},
          {"groups", groups}};
}

}  // namespace redwing::testing
