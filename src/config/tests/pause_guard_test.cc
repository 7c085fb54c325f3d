#include "config/internal/pause_guard.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("gaps up to the pause limit require no reconfirmation") {
  PauseGuard guard;
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += PauseGuard::kPauseLimit;
    CHECK_FALSE(guard.NoteRunning(now));
    CHECK_FALSE(guard.MustReconfirm(kStart, now));
  }
}

TEST_CASE("after a pause state confirmed before it must be reconfirmed") {
  PauseGuard guard;
  guard.NoteRunning(kStart);
  const TimePoint resumed = kStart + std::chrono::seconds(6);
  CHECK(guard.NoteRunning(resumed));
  CHECK(guard.MustReconfirm(kStart, resumed));
  CHECK(guard.MustReconfirm(resumed - Milliseconds(1),
                            resumed + Milliseconds(50)));
  // State confirmed after the pause is usable.
  CHECK_FALSE(guard.MustReconfirm(resumed, resumed + Milliseconds(50)));
}

TEST_CASE("without reconfirmation old state is usable after the maximum wait") {
  PauseGuard guard;
  guard.NoteRunning(kStart);
  const TimePoint resumed = kStart + std::chrono::seconds(6);
  guard.NoteRunning(resumed);
  TimePoint now = resumed;
  while (guard.MustReconfirm(kStart, now)) {
    now += Milliseconds(10);
    guard.NoteRunning(now);
  }
  CHECK(now - resumed == PauseGuard::kMaxReconfirmWait);
}

}  // namespace
}  // namespace redwing
