#include "framework/http/stop_schedule.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

// Guards against a stop that cuts requests long before the process is killed.
TEST_CASE("the last instant of a stop is the margin before the grace time") {
  const Milliseconds notice =
      GENERATE(Milliseconds(0), Milliseconds(500), Milliseconds(2'000));
  const Milliseconds grace(6'000);
  const StopSchedule schedule = StopSchedule::Within(grace, notice);
  CHECK(schedule.notice() == notice);
  CHECK(schedule.end() == grace - StopSchedule::kMargin);
}

TEST_CASE("a notice that exceeds the grace time is shortened") {
  const StopSchedule schedule =
      StopSchedule::Within(Milliseconds(1'000), Milliseconds(2'000));
  CHECK(schedule.notice() == Milliseconds(500));
  CHECK(schedule.end() == Milliseconds(500));
  CHECK(StopSchedule::Within(Milliseconds(100), Milliseconds(2'000)).end() ==
        Milliseconds(0));
}

TEST_CASE("a drain follows the notice") {
  const StopSchedule schedule =
      StopSchedule::WithDrain(Milliseconds(2'000), Milliseconds(120'000));
  CHECK(schedule.end() == Milliseconds(122'000));
}

}  // namespace
}  // namespace redwing
