// Targets that name in their answers the requests a second that they take from
// all instances together.

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <iterator>
#include <random>
#include <thread>

#include "testing/harness/sync_client.h"
#include "testing/integration/platform_load.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 6;
constexpr Milliseconds kStartLimit{15'000};
constexpr std::chrono::seconds kStopLimit{8};
// Longer than the window in which arrivals are counted.
constexpr std::chrono::seconds kLimitedTime{6};
// The instances of one region, and a target of that region.
constexpr std::array<int, 3> kRegion = {1, 3, 5};
constexpr size_t kLimited = 1;

void CheckRateLimit(PlatformStandIn& fleet, size_t target) {
  fleet.OnLoop([&]() {
    CAPTURE(target);
    CHECK(fleet.target(target).MostInRateWindow() <=
          fleet.target(target).AllowedInRateWindow());
  });
}

// Restarts an instance while callers use the others of its region.
void RestartUnderLoad(PlatformStandIn& fleet, int restarted) {
  std::vector<int> others;
  std::copy_if(kRegion.begin(), kRegion.end(), std::back_inserter(others),
               [restarted](int index) { return index != restarted; });
  Load load(fleet, others, fmt::format("restart-{}", restarted));
  std::this_thread::sleep_for(kLimitedTime);
  fleet.instance(restarted).Signal(SIGTERM);
  CHECK(fleet.instance(restarted).Wait(kStopLimit) == 0);
  fleet.StartInstance(restarted);
  CHECK(fleet.AwaitReady(kStartLimit));
  load.Stop();
  CAPTURE(restarted, load.answered(), load.last_refusal(), load.last_failure());
  // The other targets have room for all.
  CHECK(load.refused() == 0);
  CHECK(load.failed() == 0);
}

TEST_CASE("a target gets no more than the rate limit that it names") {
  const int seed = GENERATE(range(1, SeedCount() + 1));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  const double limit = std::uniform_real_distribution<double>(0.5, 10)(random);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      // One slot carries the load: a new slot leader begins with one.
      fleet.target(i).SetRunTime(Milliseconds(5));
    }
    fleet.target(kLimited).SetRateLimit(limit);
  });
  // One of them is the target's slot leader.
  for (const int index : kRegion) {
    RestartUnderLoad(fleet, index);
  }
  CAPTURE(limit);
  CheckRateLimit(fleet, kLimited);
}

TEST_CASE("callers beyond the rate limits of all targets are refused at once") {
  constexpr double kLimit = 4;
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  const auto set_limits = [&](std::optional<double> limit) {
    fleet.OnLoop([&]() {
      for (size_t i = 0; i < fleet.target_count(); ++i) {
        fleet.target(i).SetRateLimit(limit);
      }
    });
  };
  set_limits(kLimit);
  Load load(fleet, {0, 1, 2, 3}, "all-limited");
  std::this_thread::sleep_for(kLimitedTime);
  load.Stop();
  for (size_t i = 0; i < fleet.target_count(); ++i) {
    CheckRateLimit(fleet, i);
  }
  CAPTURE(load.answered(), load.refused(), load.last_failure());
  CHECK(load.failed() == 0);
  CHECK(load.refused() > 0);
  // What the targets take is given to callers.
  const double taken =
      kLimit * static_cast<double>(fleet.target_count()) * kLimitedTime.count();
  CHECK(load.answered() >= taken / 2);
  // The limits end with the answers that do not name them.
  set_limits(std::nullopt);
  std::this_thread::sleep_for(kStartLimit / 10);
  Load unlimited(fleet, {0, 1, 2, 3}, "unlimited");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  unlimited.Stop();
  Load all(fleet, {0, 1, 2, 3}, "all-again");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  all.Stop();
  CAPTURE(all.answered(), all.last_refusal(), all.last_failure());
  CHECK(all.refused() == 0);
  CHECK(all.failed() == 0);
}

}  // namespace
}  // namespace redwing::testing
