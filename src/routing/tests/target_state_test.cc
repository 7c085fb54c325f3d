#include "routing/target_state.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TargetState MakeState(int slots) {
  return {{"t", "127.0.0.1:80", "r", "r-a", slots}, kStart};
}

TEST_CASE("a new target gets its slots gradually") {
  const TargetState state = MakeState(4);
  CHECK(state.Limit(kStart) == 1);
  CHECK(state.Limit(kStart + Milliseconds(1100)) == 2);
  CHECK(state.Limit(kStart + Milliseconds(5000)) == 4);
}

TEST_CASE("requests of other instances count while their report is recent") {
  TargetState state = MakeState(2);
  const TimePoint now = kStart + std::chrono::seconds(10);
  state.SetPeerLoad("peer", 2, now);
  CHECK_FALSE(state.Available(now));
  CHECK(state.Available(now + std::chrono::seconds(2)));
}

TEST_CASE("old reports count in full while a target does not respond") {
  TargetState state = MakeState(4);
  const TimePoint now = kStart + std::chrono::seconds(10);
  state.Begin(now);
  state.SetPeerLoad("peer", 3, now);
  // The target responded at once so far, so that the reported requests have
  // probably ended.
  CHECK(state.Available(now + Milliseconds(20)));
  state.SetPeerLoad("peer", 3, now + Milliseconds(800));
  CHECK_FALSE(state.Available(now + Milliseconds(840)));
}

TEST_CASE("consecutive failures eject for longer each time until a success") {
  TargetState state = MakeState(2);
  TimePoint now = kStart + std::chrono::seconds(10);
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(state.WantsEjection());
    state.Begin(now);
    state.End(AttemptOutcome::kFailed, Milliseconds(1), now);
  }
  REQUIRE(state.WantsEjection());
  state.Eject(now);
  CHECK_FALSE(state.Usable(now + Milliseconds(900)));
  now += Milliseconds(1100);
  CHECK(state.Usable(now));
  // Half open: one request at a time until one succeeds.
  CHECK(state.Limit(now) == 1);
  state.Begin(now);
  state.End(AttemptOutcome::kFailed, Milliseconds(1), now);
  REQUIRE(state.WantsEjection());
  state.Eject(now);
  CHECK_FALSE(state.Usable(now + Milliseconds(1900)));
  now += Milliseconds(2100);
  state.Begin(now);
  state.End(AttemptOutcome::kAnswered, Milliseconds(1), now);
  CHECK(state.Limit(now) == 2);
}

TEST_CASE("failures for want of links are taken back with their ejections") {
  TargetState state = MakeState(4);
  const TimePoint now = kStart + std::chrono::seconds(10);
  state.SetWarmUp(std::chrono::seconds(5), 10, now);
  for (int i = 0; i < 3; ++i) {
    state.Begin(now);
    state.End(AttemptOutcome::kDisconnected, Milliseconds(500), now);
  }
  REQUIRE(state.WantsEjection());
  state.Eject(now);
  CHECK(state.Ejected(now));
  CHECK(state.cold(now));
  state.ForgetFailures();
  CHECK_FALSE(state.Ejected(now));
  CHECK_FALSE(state.cold(now));
  CHECK_FALSE(state.WantsEjection());
  CHECK(state.Limit(now) == 4);
}

}  // namespace
}  // namespace redwing
