#include "delivery/internal/longest_runs.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("the longest run of a route is remembered, then forgotten") {
  LongestRuns runs;
  CHECK(runs.Longest("a", kStart) == Milliseconds(0));
  runs.Record("a", Milliseconds(4'700), kStart);
  runs.Record("a", Milliseconds(20), kStart + Milliseconds(10));
  CHECK(runs.Longest("a", kStart + Milliseconds(10)) == Milliseconds(4'700));
  CHECK(runs.Longest("b", kStart) == Milliseconds(0));
  // Short runs that follow do not displace it before its time.
  TimePoint now = kStart;
  for (; now < kStart + LongestRuns::kMemory; now += Milliseconds(100)) {
    runs.Record("a", Milliseconds(20), now);
    CHECK(runs.Longest("a", now) == Milliseconds(4'700));
  }
  for (; now < kStart + 2 * LongestRuns::kMemory + Milliseconds(1);
       now += Milliseconds(100)) {
    runs.Record("a", Milliseconds(20), now);
  }
  CHECK(runs.Longest("a", now) == Milliseconds(20));
  CHECK(runs.Longest("a", now + 2 * LongestRuns::kMemory) == Milliseconds(0));
}

}  // namespace
}  // namespace redwing
