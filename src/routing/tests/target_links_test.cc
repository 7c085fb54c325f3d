#include "routing/target_links.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("links are lost only when a check reaches no target") {
  TargetLinks links;
  CHECK_FALSE(links.IsCheckDue(kStart));
  links.RecordFailure();
  CHECK(links.up());
  REQUIRE(links.IsCheckDue(kStart));
  links.BeginCheck(kStart);
  CHECK_FALSE(links.IsCheckDue(kStart + std::chrono::seconds(9)));
  CHECK_FALSE(links.EndCheck(1));
  CHECK(links.up());
  // The failure was that of one target.
  CHECK_FALSE(links.IsCheckDue(kStart + std::chrono::seconds(9)));
  links.RecordFailure();
  links.BeginCheck(kStart + std::chrono::seconds(9));
  CHECK(links.EndCheck(0));
  CHECK_FALSE(links.up());
}

TEST_CASE("lost links are checked until a target is reached") {
  TargetLinks links;
  links.RecordFailure();
  links.BeginCheck(kStart);
  links.EndCheck(0);
  TimePoint now = kStart;
  for (int i = 0; i < 5; ++i) {
    CHECK_FALSE(links.IsCheckDue(now + Milliseconds(1)));
    now += TargetLinks::kCheckInterval;
    REQUIRE(links.IsCheckDue(now));
    links.BeginCheck(now);
    CHECK_FALSE(links.EndCheck(0));
  }
  now += TargetLinks::kCheckInterval;
  links.BeginCheck(now);
  CHECK(links.EndCheck(TargetLinks::kCheckedTargets));
  CHECK(links.up());
  CHECK_FALSE(links.IsCheckDue(now + std::chrono::hours(1)));
}

TEST_CASE("a check is not due more often than its interval") {
  TargetLinks links;
  TimePoint now = kStart;
  int checks = 0;
  for (; now < kStart + std::chrono::seconds(10); now += Milliseconds(10)) {
    links.RecordFailure();
    if (links.IsCheckDue(now)) {
      links.BeginCheck(now);
      links.EndCheck(1);
      ++checks;
    }
  }
  CHECK(checks <= std::chrono::seconds(10) / TargetLinks::kCheckInterval);
  CHECK(checks > 1);
}

}  // namespace
}  // namespace redwing
