#include "config/internal/pull_limiter.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>

namespace redwing {
namespace {

// Beats of other regions' instances come once a second from each.
constexpr Milliseconds kBeat{1'000};

TEST_CASE("a change that follows another one is pulled well within a second") {
  PullLimiter limiter;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  REQUIRE(limiter.MayPull("far-1", /*near=*/false, now));
  // The next change comes 60 ms later and is told at once by all.
  now += Milliseconds(60);
  CHECK_FALSE(limiter.MayPull("far-2", /*near=*/false, now));
  const TimePoint changed = now;
  int beat = 0;
  while (!limiter.MayPull(fmt::format("far-{}", beat % 6), false, now)) {
    now += kBeat / 6;
    ++beat;
  }
  CHECK(now - changed <= Milliseconds(400));
}

TEST_CASE("pulls from other regions do not grow with their instances") {
  PullLimiter limiter;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int pulls = 0;
  for (int ms = 0; ms < 1'000; ms += 10) {
    now += Milliseconds(10);
    for (int peer = 0; peer < 100; ++peer) {
      pulls += limiter.MayPull(std::to_string(peer), /*near=*/false, now);
    }
  }
  CHECK(pulls <= 4);
}

TEST_CASE("peers of the own region are asked each for itself") {
  PullLimiter limiter;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  CHECK(limiter.MayPull("a", /*near=*/true, now));
  CHECK(limiter.MayPull("b", /*near=*/true, now));
  CHECK_FALSE(limiter.MayPull("a", /*near=*/true, now + Milliseconds(99)));
  CHECK(limiter.MayPull("a", /*near=*/true, now + Milliseconds(100)));
}

}  // namespace
}  // namespace redwing
