#include "config/internal/pull_limiter.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

// Beats of other regions' instances come once a second from each.
constexpr Milliseconds kHeartbeatInterval{1'000};

TEST_CASE("a change that follows another one is pulled well within a second") {
  PullLimiter limiter;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  REQUIRE(limiter.MayPull(/*same_region=*/false, now));
  // The next change comes 60 ms later and is told at once by all.
  now += Milliseconds(60);
  CHECK_FALSE(limiter.MayPull(/*same_region=*/false, now));
  const TimePoint changed = now;
  while (!limiter.MayPull(/*same_region=*/false, now)) {
    now += kHeartbeatInterval / 6;
  }
  CHECK(now - changed <= Milliseconds(400));
}

TEST_CASE("pulls do not grow with the number of peers") {
  PullLimiter limiter;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  int other_regions = 0;
  int same_region = 0;
  for (int ms = 0; ms < 1'000; ms += 10) {
    now += Milliseconds(10);
    for (int peer = 0; peer < 100; ++peer) {
      other_regions += limiter.MayPull(/*same_region=*/false, now);
      same_region += limiter.MayPull(/*same_region=*/true, now);
    }
  }
  CHECK(other_regions <= 4);
  CHECK(same_region <= 10);
}

TEST_CASE("after a pull that failed the next peer is asked at once") {
  PullLimiter limiter;
  const TimePoint now = TimePoint() + std::chrono::hours(1);
  CHECK(limiter.MayPull(/*same_region=*/true, now));
  CHECK_FALSE(limiter.MayPull(/*same_region=*/true, now + Milliseconds(99)));
  limiter.DiscardFailedPull(/*same_region=*/true);
  CHECK(limiter.MayPull(/*same_region=*/true, now + Milliseconds(99)));
  CHECK_FALSE(limiter.MayPull(/*same_region=*/true, now + Milliseconds(198)));
  CHECK(limiter.MayPull(/*same_region=*/true, now + Milliseconds(199)));
}

}  // namespace
}  // namespace redwing
