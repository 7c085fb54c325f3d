#include "config/internal/state_lag.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("the lag lasts from a newer advertised state until it is applied") {
  StateLag lag;
  CHECK_FALSE(lag.RecordAdvertised(10, 10, kStart));
  CHECK_FALSE(lag.RecordApplied(10, kStart));
  lag.RecordAdvertised(12, 10, kStart);
  lag.RecordAdvertised(14, 10, kStart + Milliseconds(50));
  // The state is still behind the newest advertised sum.
  CHECK_FALSE(lag.RecordApplied(12, kStart + Milliseconds(80)));
  const std::optional<Milliseconds> behind =
      lag.RecordApplied(14, kStart + Milliseconds(120));
  REQUIRE(behind);
  CHECK(*behind == Milliseconds(120));
  CHECK_FALSE(lag.RecordApplied(16, kStart + Milliseconds(130)));
}

TEST_CASE(
    "a lasting lag is logged once a second regardless of the heartbeat rate") {
  StateLag lag;
  int lines = 0;
  for (int ms = 0; ms <= 4'000; ms += 10) {
    lines += lag.RecordAdvertised(2, 1, kStart + Milliseconds(ms)) ? 1 : 0;
  }
  CHECK(lines == 4);
}

}  // namespace
}  // namespace redwing
