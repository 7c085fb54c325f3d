// Signals at moments other than the usual ones: during the start, while the
// store is away, and during a stop that has begun.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 2;
constexpr Milliseconds kStartLimit{15'000};

// Guards against SIGHUP ending a process that waits for the store.
TEST_CASE("signals are handled while an instance waits for the store") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() { fleet.store().SetDown(true); });
  fleet.StartInstance(kInstances);
  for (int i = 0; i < 5; ++i) {
    std::this_thread::sleep_for(Milliseconds(100));
    fleet.instance(kInstances).Signal(SIGHUP);
  }
  std::this_thread::sleep_for(Milliseconds(100));
  REQUIRE(fleet.instance(kInstances).running());
  SECTION("the instance becomes ready once the store is back") {
    fleet.OnLoop([&]() { fleet.store().SetDown(false); });
    CHECK(fleet.AwaitReady(kStartLimit));
  }
  SECTION("SIGTERM ends the instance with success") {
    fleet.instance(kInstances).Signal(SIGTERM);
    CHECK(fleet.instance(kInstances).Wait(Milliseconds(5'000)) == 0);
  }
}

// Guards against a further SIGTERM cutting the requests of a planned stop.
TEST_CASE("a further SIGTERM does not shorten a planned stop") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      fleet.target(i).SetRunTime(Milliseconds(1'500));
    }
  });
  std::future<Result<HttpReply>> reply = std::async(
      std::launch::async, [&fleet]() { return fleet.Send(0, "running"); });
  std::this_thread::sleep_for(Milliseconds(300));
  for (int i = 0; i < 3; ++i) {
    fleet.instance(0).Signal(SIGTERM);
    std::this_thread::sleep_for(Milliseconds(100));
  }
  const Result<HttpReply> running = reply.get();
  CHECK((running && running.value().status == 200));
  CHECK(fleet.instance(0).Wait(Milliseconds(8'000)) == 0);
}

}  // namespace
}  // namespace redwing::testing
