#include "membership/beat_pace.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

constexpr Milliseconds kShortest{100};
constexpr Milliseconds kPerMember{10};
constexpr Milliseconds kTimeout{1'000};

const BeatPace kPace(kShortest, kPerMember, kTimeout);

TEST_CASE("few members hear at the shortest interval") {
  CHECK(kPace.Interval(0) == kShortest);
  CHECK(kPace.Interval(10) == kShortest);
  CHECK(kPace.SuspicionTimeout(10) == kTimeout);
}

TEST_CASE("messages a second do not grow with the members") {
  for (const size_t members : {10, 30, 98, 300, 4'800}) {
    CAPTURE(members);
    const double each = 1 / ToSeconds(kPace.Interval(members));
    CHECK(each * static_cast<double>(members) <= 1 / ToSeconds(kPerMember));
  }
}

TEST_CASE("a member may miss a beat at every size before it is suspect") {
  for (const size_t members : {1, 10, 30, 98, 300, 4'800}) {
    CAPTURE(members);
    CHECK(kPace.SuspicionTimeout(members) >= 2 * kPace.Interval(members));
  }
}

TEST_CASE("few members with a long interval are suspect at the timeout") {
  const BeatPace pace(Milliseconds(1'000), kPerMember, Milliseconds(2'500));
  CHECK(pace.SuspicionTimeout(7) == Milliseconds(2'500));
}

}  // namespace
}  // namespace redwing
