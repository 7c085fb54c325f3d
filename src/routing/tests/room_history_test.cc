#include "routing/room_history.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("a clear loss of slots is noticed for a while, a small one is not") {
  RoomHistory history;
  const TimePoint start(std::chrono::hours(1));
  CHECK_FALSE(history.HasFallen("svc", 100, start));
  CHECK_FALSE(history.HasFallen("svc", 95, start + std::chrono::seconds(1)));
  CHECK(history.HasFallen("svc", 60, start + std::chrono::seconds(2)));
  CHECK_FALSE(history.HasFallen("other", 60, start + std::chrono::seconds(2)));
  // What is there after a while is the usual.
  CHECK_FALSE(history.HasFallen("svc", 60, start + std::chrono::seconds(20)));
  CHECK_FALSE(history.HasFallen("svc", 80, start + std::chrono::seconds(21)));
}

}  // namespace
}  // namespace redwing
