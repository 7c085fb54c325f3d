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
    CHECK_FALSE(guard.MustWait(kStart, now));
  }
}

TEST_CASE("after a pause nothing is done on what was known before it") {
  PauseGuard guard;
  guard.NoteRunning(kStart);
  const TimePoint woken = kStart + std::chrono::seconds(6);
  CHECK(guard.NoteRunning(woken));
  CHECK(guard.MustWait(kStart, woken));
  CHECK(guard.MustWait(woken - Milliseconds(1), woken + Milliseconds(50)));
  // Asked for after the pause: as good as new.
  CHECK_FALSE(guard.MustWait(woken, woken + Milliseconds(50)));
}

TEST_CASE("with nobody to ask it goes on after a while") {
  PauseGuard guard;
  guard.NoteRunning(kStart);
  const TimePoint woken = kStart + std::chrono::seconds(6);
  guard.NoteRunning(woken);
  TimePoint now = woken;
  while (guard.MustWait(kStart, now)) {
    now += Milliseconds(10);
    guard.NoteRunning(now);
  }
  CHECK(now - woken == PauseGuard::kLongestHold);
}

}  // namespace
}  // namespace redwing
