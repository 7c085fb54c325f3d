#include "routing/slot_history.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("a large loss of slots is detected for a while, a small one is not") {
  SlotHistory history;
  const TimePoint start(std::chrono::hours(1));
  CHECK_FALSE(history.HasDropped("svc", 100, start));
  CHECK_FALSE(history.HasDropped("svc", 95, start + std::chrono::seconds(1)));
  CHECK(history.HasDropped("svc", 60, start + std::chrono::seconds(2)));
  CHECK_FALSE(history.HasDropped("other", 60, start + std::chrono::seconds(2)));
  // After the retention period the present number is the new peak.
  CHECK_FALSE(history.HasDropped("svc", 60, start + std::chrono::seconds(20)));
  CHECK_FALSE(history.HasDropped("svc", 80, start + std::chrono::seconds(21)));
}

}  // namespace
}  // namespace redwing
