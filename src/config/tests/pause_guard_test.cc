#include "config/internal/pause_guard.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("a process that only runs slowly does not wait") {
  PauseGuard guard;
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += PauseGuard::kPauseLimit;
    CHECK_FALSE(guard.NoteRunning(now));
    CHECK_FALSE(guard.MustReconfirm(kStart, now));
  }
}

TEST_CASE("after a pause nothing is done on what was known before it") {
  PauseGuard guard;
  guard.NoteRunning(kStart);
  const TimePoint resumed = kStart + std::chrono::seconds(6);
  CHECK(guard.NoteRunning(resumed));
  CHECK(guard.MustReconfirm(kStart, resumed));
  CHECK(guard.MustReconfirm(resumed - Milliseconds(1),
                            resumed + Milliseconds(50)));
  // Asked for after the pause: as good as new.
  CHECK_FALSE(guard.MustReconfirm(resumed, resumed + Milliseconds(50)));
}

TEST_CASE("with nobody to ask it goes on after a while") {
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
