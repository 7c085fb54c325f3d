#include "membership/heartbeat_pacing.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

constexpr Milliseconds kMinInterval{100};
constexpr Milliseconds kIntervalPerMember{10};
constexpr Milliseconds kMinTimeout{1'000};

const HeartbeatPacing kPacing(kMinInterval, kIntervalPerMember, kMinTimeout);

TEST_CASE("with few members the interval and timeout are the minimum") {
  CHECK(kPacing.Interval(0) == kMinInterval);
  CHECK(kPacing.Interval(10) == kMinInterval);
  CHECK(kPacing.SuspicionTimeout(10) == kMinTimeout);
}

TEST_CASE("messages per second do not grow with the number of members") {
  for (const size_t members : {10, 30, 98, 300, 4'800}) {
    CAPTURE(members);
    const double each = 1 / ToSeconds(kPacing.Interval(members));
    CHECK(each * static_cast<double>(members) <=
          1 / ToSeconds(kIntervalPerMember));
  }
}

TEST_CASE(
    "the suspicion timeout covers two intervals for any number of members") {
  for (const size_t members : {1, 10, 30, 98, 300, 4'800}) {
    CAPTURE(members);
    CHECK(kPacing.SuspicionTimeout(members) >= 2 * kPacing.Interval(members));
  }
}

TEST_CASE("a minimum timeout above two intervals is the suspicion timeout") {
  const HeartbeatPacing pacing(Milliseconds(1'000), kIntervalPerMember,
                               Milliseconds(2'500));
  CHECK(pacing.SuspicionTimeout(7) == Milliseconds(2'500));
}

}  // namespace
}  // namespace redwing
