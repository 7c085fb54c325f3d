#include "testing/harness/windows.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace redwing::testing {
namespace {

constexpr double kRate = 200;   // requests a second
constexpr double kBurst = 40;   // requests
constexpr double kStalled = 1;  // seconds
constexpr Stall kStall{kStalled, kStalled + 0.3};

// Requests at the rate, of which those that came during the stall, and `more`,
// are stamped at its end.
std::vector<double> TimesAroundStall(int more) {
  std::vector<double> times;
  for (int i = 0; i < 3 * kRate; ++i) {
    const double at = i / kRate;
    const bool stalled = kStall.begun < at && at < kStall.ended;
    times.push_back(stalled ? kStall.ended : at);
  }
  times.insert(times.end(), more, kStall.ended);
  std::sort(times.begin(), times.end());
  return times;
}

TEST_CASE("what piled up in a stall is no overrun") {
  const std::vector<double> times = TimesAroundStall(0);
  CHECK(WorstOverrun(times, kRate, kBurst) > 0);
  CHECK(WorstOverrun(times, kRate, kBurst, {kStall}) <= 0);
}

TEST_CASE(
    "more than rate and burst allow is an overrun beside a stall as well") {
  const std::vector<double> times = TimesAroundStall(static_cast<int>(kBurst));
  CHECK(WorstOverrun(times, kRate, kBurst, {kStall}) > 0);
}

TEST_CASE("a stall excuses nothing at other times") {
  const std::vector<double> times = TimesAroundStall(0);
  CHECK(WorstOverrun(times, kRate, kBurst, {{0.1, 0.4}, {2, 2.3}}) ==
        Approx(WorstOverrun(times, kRate, kBurst)));
}

}  // namespace
}  // namespace redwing::testing
