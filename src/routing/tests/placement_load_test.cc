// Simulates load on the choice of targets: callers of one region request
// objects that targets keep warm, and targets are chosen as entry instances
// choose them.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "framework/wire/digest.h"
#include "routing/candidate_choice.h"
#include "routing/tests/target_model.h"

namespace redwing {
namespace {

constexpr int kTargets = 4;
// More objects than one target keeps warm, fewer than all targets together do.
constexpr int kObjects = 60;
constexpr double kDeadlineMs = 500;
constexpr double kDurationMs = 60'000;
// Requests before this time are not counted: the first run for each object is
// cold.
constexpr double kSettledMs = 10'000;

struct Outcome {
  int asked = 0;
  int in_time = 0;
  int refused = 0;
  int cold = 0;
};

// Strategy that chooses the target of a request.
using Chooser = std::optional<size_t> (*)(const ServiceTimes& times,
                                          std::vector<TargetCandidate>* list);

std::optional<size_t> ByExpectedTime(const ServiceTimes& times,
                                     std::vector<TargetCandidate>* list) {
  return ChooseCandidate(times, kDeadlineMs - times.warm_ms(), list);
}

// The project's earlier strategy: least outstanding requests, rejected if all
// targets are full.
std::optional<size_t> ByLeastWork(const ServiceTimes& /*times*/,
                                  std::vector<TargetCandidate>* list) {
  const auto least =
      std::min_element(list->begin(), list->end(),
                       [](const TargetCandidate& a, const TargetCandidate& b) {
                         return a.load < b.load;
                       });
  return least->load < TargetModel::kSlots
             ? std::optional<size_t>(static_cast<size_t>(least - list->begin()))
             : std::nullopt;
}

Outcome RunLoad(double per_second, Chooser chooser, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second / 1000);
  std::uniform_int_distribution<int> object(0, kObjects - 1);
  std::array<TargetModel, kTargets> targets;
  ServiceTimes times;
  Outcome outcome;
  for (double now = 0; now < kDurationMs; now += gap(random)) {
    const int key = object(random);
    std::vector<TargetCandidate> list(kTargets);
    for (size_t i = 0; i < list.size(); ++i) {
      list[i].slots = TargetModel::kSlots;
      list[i].score = Hash64(std::to_string(key) + "/" + std::to_string(i));
      list[i].load = targets[i].Load(now);
    }
    const bool counted = now > kSettledMs;
    outcome.asked += counted ? 1 : 0;
    const std::optional<size_t> chosen = chooser(times, &list);
    if (!chosen) {
      outcome.refused += counted ? 1 : 0;
      continue;
    }
    bool warm = false;
    const double end = targets[*chosen].Run(key, now, &warm);
    times.Learn(warm, Milliseconds(static_cast<int64_t>(
                          warm ? TargetModel::kWarmMs : TargetModel::kColdMs)));
    outcome.cold += counted && !warm ? 1 : 0;
    outcome.in_time += counted && end - now <= kDeadlineMs ? 1 : 0;
  }
  return outcome;
}

TEST_CASE("under load most requests are served in time") {
  // 4 targets of 3 slots run 63 warm requests a second, or 19 cold ones.
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    const Outcome outcome = RunLoad(40, &ByExpectedTime, seed);
    CAPTURE(seed, outcome.asked, outcome.in_time, outcome.refused);
    CHECK(outcome.in_time > outcome.asked * 8 / 10);
    CHECK(outcome.cold < outcome.asked / 10);
  }
}

TEST_CASE("above capacity, accepted requests are served in time") {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    const Outcome outcome = RunLoad(120, &ByExpectedTime, seed);
    CAPTURE(seed, outcome.asked, outcome.in_time, outcome.refused);
    CHECK(outcome.refused > 0);
    CHECK(outcome.in_time > (outcome.asked - outcome.refused) * 9 / 10);
  }
}

TEST_CASE("a peak serves at least as many in time as least outstanding does") {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    const Outcome chosen = RunLoad(50, &ByExpectedTime, seed);
    const Outcome least = RunLoad(50, &ByLeastWork, seed);
    CAPTURE(seed, chosen.in_time, least.in_time);
    CHECK(chosen.in_time >= least.in_time);
  }
}

}  // namespace
}  // namespace redwing
