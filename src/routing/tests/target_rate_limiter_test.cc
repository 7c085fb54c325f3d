#include "routing/target_rate_limiter.h"

#include <array>
#include <catch2/catch.hpp>
#include <deque>

#include "routing/recent_keys.h"
#include "routing/target_load.h"

namespace redwing {
namespace {

TEST_CASE("all instances together stay below the rate plus one request each") {
  constexpr double kRate = 18;
  constexpr int kParts = 4;
  std::array<TargetRateLimiter, kParts> limiters;
  TimePoint now;
  for (TargetRateLimiter& limiter : limiters) {
    limiter.SetRate(kRate, 1.0 / kParts, now);
  }
  std::deque<TimePoint> sent;
  size_t most = 0;
  size_t total = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    now += Milliseconds(1);
    for (TargetRateLimiter& limiter : limiters) {
      if (limiter.CanSpend(now)) {
        limiter.Spend(now);
        sent.push_back(now);
        ++total;
      }
    }
    while (now - sent.front() >= std::chrono::seconds(1)) {
      sent.pop_front();
    }
    most = std::max(most, sent.size());
  }
  CHECK(most <= kRate + kParts);
  CHECK(total > kRate * 9);
}

TEST_CASE("an idle limiter saves at most one token") {
  TargetRateLimiter limiter;
  TimePoint now;
  limiter.SetRate(10, 1, now);
  now += std::chrono::hours(1);
  CHECK(limiter.CanSpend(now));
  limiter.Spend(now);
  CHECK_FALSE(limiter.CanSpend(now));
}

TEST_CASE("the number of recent keys is bounded") {
  RecentKeys keys;
  CHECK_FALSE(keys.Add(1));
  CHECK(keys.Add(1));
  for (uint64_t key = 2; key < 1000; ++key) {
    keys.Add(key);
  }
  CHECK_FALSE(keys.Contains(1));
  CHECK(keys.Contains(999));
}

TEST_CASE("a target's load is parsed from three numbers") {
  const std::optional<TargetLoad> load = TargetLoad::Parse("3,1,8");
  REQUIRE(load);
  CHECK(load->running == 3);
  CHECK(load->waiting == 1);
  CHECK(load->slots == 8);
  for (const char* text :
       {"", "3", "3,1", "3,1,8,9", "a,b,c", "3,,8", "-1,0,8"}) {
    CHECK_FALSE(TargetLoad::Parse(text));
  }
}

}  // namespace
}  // namespace redwing
