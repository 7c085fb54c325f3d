#ifndef REDWING_TESTING_BENCH_BENCH_SUPPORT_H_
#define REDWING_TESTING_BENCH_BENCH_SUPPORT_H_

#include <nlohmann/json.hpp>
#include <string>

#include "testing/harness/deployments.h"

namespace redwing::testing {

// Rate and burst of each workspace of SmallFleet().
constexpr double kBenchRate = 200;
constexpr double kBenchBurst = 40;
constexpr int kBenchRegions = 3;
// Callers of a load group. Each looks up once in a time to live, which adds a
// round trip to one of its requests.
constexpr int kBenchCallers = 12;

// Command-line choices that scenarios share.
struct BenchOptions {
  int entries = 3;  // a region
  std::string strategy = "leased_shares";
  std::string choice = "least_outstanding";
  double part = 0.7;
  // Part of peer datagrams that is lost.
  double loss = 0;
  int seconds = 10;
};

// A load group of one workspace's callers in one region.
nlohmann::json Group(const std::string& name,
                     const std::string& key,
                     const std::string& region,
                     double rate,
                     int from_ms,
                     int until_ms,
                     const nlohmann::json& request);

// A request of the service of SmallFleet().
const nlohmann::json& SmallRequest();

// Three regions with the chosen numbers of entries, strategy and choice.
FleetPlan SmallFleet(const BenchOptions& options);

// Settings of redwing-load for some groups.
nlohmann::json LoadSettings(const nlohmann::json& groups, int duration_ms);

}  // namespace redwing::testing

#endif  // REDWING_TESTING_BENCH_BENCH_SUPPORT_H_
