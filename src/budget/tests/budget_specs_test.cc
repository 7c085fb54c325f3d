#include "budget/budget_specs.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "budget/budget_options.h"
#include "budget/share_bucket.h"
#include "steering/section_parser.h"
#include "steering/steering_document.h"

namespace redwing {
namespace {

constexpr double kRate = 150;  // requests per second
constexpr double kBurst = 30;  // requests
constexpr int kSeconds = 20;

SteeringDocument MakeDocument(double rate, double burst) {
  const Result<JsonSource> source = JsonSource::Parse(
      fmt::format(R"({{"sections": {{"net": {{"team": "n", "regions": [
        {{"name": "r", "failure_domains": ["d"], "rate_per_s": {0},
          "burst": {1}}}],
        "workspaces": [{{"name": "w", "rate_per_s": {0}, "burst": {1}}}]
        }}}}}})",
                  rate, burst),
      "test");
  REQUIRE(source);
  const Result<std::vector<Section>> sections = ParseSections(source.value());
  REQUIRE(sections);
  return SteeringDocument(sections.value());
}

BudgetSpec SpecNamed(const std::string& name,
                     double rate,
                     double burst,
                     const BudgetOptions& options) {
  const std::vector<BudgetSpec> specs =
      BudgetSpecsOf(MakeDocument(rate, burst), "r", options);
  const auto spec =
      std::find_if(specs.begin(), specs.end(),
                   [&name](const BudgetSpec& s) { return s.name == name; });
  REQUIRE(spec != specs.end());
  return *spec;
}

// Admits as many requests as the bucket allows in each millisecond, with pauses
// in which it fills. Each request arrives up to `spread` after its admission.
// Returns the sorted arrival times in seconds.
std::vector<double> Arrivals(const BudgetSpec& spec,
                             Milliseconds spread,
                             uint64_t seed) {
  constexpr int kTry = 1;       // milliseconds
  constexpr int kPhase = 1000;  // milliseconds; every other phase is a pause
  const TimePoint start = TimePoint() + std::chrono::hours(1);
  std::mt19937_64 random(seed);
  std::uniform_real_distribution<double> passage(0, ToSeconds(spread));
  ShareBucket bucket(spec, start);
  bucket.SetOwnShare(1, start);
  std::vector<double> times;
  for (int ms = 0; ms < kSeconds * 1000; ms += kTry) {
    const TimePoint now = start + Milliseconds(ms);
    while (ms / kPhase % 2 == 1 && bucket.TrySpend(1, now)) {
      times.push_back(ms / 1000.0 + passage(random));
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

TEST_CASE("arrivals at targets stay within rate and burst") {
  const std::string name =
      GENERATE(as<std::string>(), "region/r", "workspace/w");
  const BudgetOptions options;
  const BudgetSpec spec = SpecNamed(name, kRate, kBurst, options);
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const std::vector<double> times =
        Arrivals(spec, options.arrival_spread, seed);
    double lowest = 0;
    double worst = 0;
    for (size_t i = 0; i < times.size(); ++i) {
      const double at = static_cast<double>(i) - kRate * times[i];
      lowest = std::min(lowest, at);
      worst = std::max(worst, at + 1 - lowest - kBurst);
    }
    CAPTURE(name, seed, times.size(), worst);
    CHECK(worst <= 0);
    // The full rate is reached outside the pauses, which are half of the time.
    CHECK(times.size() >= kRate * kSeconds / 2);
  }
}

TEST_CASE("a small burst still admits requests") {
  const double burst = GENERATE(1.0, 2.0, 3.0, 50.0);
  CAPTURE(burst);
  const BudgetSpec spec =
      SpecNamed("workspace/w", /*rate=*/5000, burst, BudgetOptions());
  CHECK(spec.burst >= std::min(burst, 2.0));
  CHECK(spec.burst <= burst);
}

}  // namespace
}  // namespace redwing
