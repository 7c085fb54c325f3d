#include "config/internal/pull_limiter.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

// Each instance of another region sends one heartbeat per second.
constexpr Milliseconds kHeartbeatInterval{1'000};

TEST_CASE("a change shortly after another one is pulled within 400 ms") {
  PullLimiter limiter;
  TimePoint now = TimePoint() + std::chrono::hours(1);
  REQUIRE(limiter.MayPull(/*same_region=*/false, now));
  // The next change follows 60 ms later and all peers advertise it immediately.
  now += Milliseconds(60);
  CHECK_FALSE(limiter.MayPull(/*same_region=*/false, now));
  const TimePoint changed = now;
  while (!limiter.MayPull(/*same_region=*/false, now)) {
    now += kHeartbeatInterval / 6;
  }
  CHECK(now - changed <= Milliseconds(400));
}

TEST_CASE("the pull rate does not depend on the number of peers") {
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

TEST_CASE("after a failed pull the next pull is allowed immediately") {
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
