// What targets say of themselves in their answers, under load: that they leave,
// and that they want nothing for a while.

#include <catch2/catch.hpp>
#include <random>
#include <thread>
#include <vector>

#include "testing/harness/sync_client.h"
#include "testing/integration/platform_load.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 4;
const std::vector<int> kAllInstances = {0, 1, 2, 3};
constexpr Milliseconds kStartLimit{15'000};
// Time within which requests may still reach a target that leaves.
constexpr Milliseconds kDrain{2'500};
// Requests that may reach a target inside a time that it has asked for.
constexpr int kMostInsideBackoff = 2;

TEST_CASE("targets that leave get nothing more while the list cannot be read") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  Load load(fleet, kAllInstances, "release");
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.OnLoop([&]() { fleet.store().SetDown(true); });
  // One target of each region, one after the other.
  for (const size_t leaving : {0, 1}) {
    fleet.OnLoop([&]() { fleet.target(leaving).SetLeaving(true); });
    std::this_thread::sleep_for(kDrain + Milliseconds(1'500));
  }
  int late = 0;
  size_t runs = 0;
  fleet.OnLoop([&]() {
    for (const size_t left : {0, 1}) {
      late += fleet.target(left).ArrivedAfterLeaving(kDrain);
    }
    // The first starts anew; the list still holds what it said before.
    fleet.target(0).SetLeaving(false);
    fleet.store().SetDown(false);
    runs = fleet.target(0).runs().size();
  });
  CHECK(late == 0);
  std::this_thread::sleep_for(Milliseconds(1'500));
  size_t runs_after = 0;
  fleet.OnLoop([&]() {
    runs_after = fleet.target(0).runs().size();
    fleet.List(0, "ready", "svc", 2'000);
  });
  CHECK(runs_after == runs);
  CHECK(WaitUntil(
      [&]() {
        size_t now = 0;
        fleet.OnLoop([&]() { now = fleet.target(0).runs().size(); });
        return now > runs;
      },
      std::chrono::seconds(5)));
  load.Stop();
  CAPTURE(load.answered(), load.refused(), load.last_failure());
  CHECK(load.failed() == 0);
  // What is left has room for all.
  CHECK(load.refused() == 0);
}

// Replaces all targets, one after the other, under load; they say in their
// answers that they leave, or only in the list. Returns the part of the
// requests that was answered in time.
double PartInTimeDuringRelease(bool announced) {
  constexpr Milliseconds kServesOn{800};
  constexpr Milliseconds kPauseBetween{700};
  constexpr int64_t kNewStart = 2'000;
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  Load load(fleet, kAllInstances, announced ? "announced" : "listed");
  std::this_thread::sleep_for(kPauseBetween);
  for (size_t i = 0; i < fleet.target_count(); ++i) {
    fleet.OnLoop([&]() {
      fleet.target(i).SetLeaving(announced);
      fleet.List(i, "draining");
    });
    std::this_thread::sleep_for(kServesOn);
    fleet.OnLoop([&]() {
      fleet.target(i).SetLeaving(false);
      fleet.List(i, "ready", "svc", kNewStart);
    });
    std::this_thread::sleep_for(kPauseBetween);
  }
  load.Stop();
  CAPTURE(announced, load.answered(), load.refused(), load.last_failure());
  CHECK(load.failed() == 0);
  return load.PartInTime();
}

TEST_CASE(
    "a release whose targets say that they leave serves as many in time") {
  // A single request may be late for want of a processor.
  constexpr double kNoise = 0.01;
  const double listed = PartInTimeDuringRelease(/*announced=*/false);
  const double announced = PartInTimeDuringRelease(/*announced=*/true);
  CAPTURE(listed, announced);
  CHECK(announced >= listed - kNoise);
}

TEST_CASE("targets that want nothing for a while get nothing") {
  const int seed = GENERATE(range(1, SeedCount() + 1));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> backoff_ms(200, 10'000);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  const auto set_backoffs = [&](size_t targets) {
    fleet.OnLoop([&]() {
      for (size_t i = 0; i < targets; ++i) {
        fleet.target(i).SetBackoff(Milliseconds(backoff_ms(random)));
      }
    });
  };
  // One of four: the others have room for all.
  Load some(fleet, kAllInstances, "some");
  set_backoffs(1);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  some.Stop();
  CAPTURE(some.answered(), some.last_failure());
  CHECK(some.refused() == 0);
  CHECK(some.failed() == 0);
  // All: callers are refused at once, with a time to come back.
  set_backoffs(fleet.target_count());
  Load all(fleet, kAllInstances, "all");
  std::this_thread::sleep_for(std::chrono::seconds(4));
  all.Stop();
  CAPTURE(all.answered(), all.refused(), all.last_failure());
  CHECK(all.failed() == 0);
  CHECK(all.refused() > 0);
  fleet.OnLoop([&]() {
    int turned_away = 0;
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      CAPTURE(i, fleet.target(i).turned_away());
      CHECK(fleet.target(i).most_inside_backoff() <= kMostInsideBackoff);
      turned_away += fleet.target(i).turned_away();
      fleet.target(i).SetBackoff(std::nullopt);
    }
    CHECK(turned_away > 0);
  });
  // They come back by themselves once their times have ended.
  CHECK(WaitUntil(
      [&]() {
        const Result<HttpReply> reply = fleet.Send(0, "again");
        return reply && reply.value().status == 200;
      },
      std::chrono::seconds(12)));
}

}  // namespace
}  // namespace redwing::testing
