#include "config/internal/pause_guard.h"

namespace redwing {

bool PauseGuard::NoteRunning(TimePoint now) {
  const bool paused = ran_at_ != TimePoint() && now - ran_at_ > kPauseLimit;
  ran_at_ = now;
  if (paused) {
    resumed_at_ = now;
  }
  return paused;
}

bool PauseGuard::MustReconfirm(TimePoint confirmed_at, TimePoint now) const {
  return resumed_at_ != TimePoint() && confirmed_at < resumed_at_ &&
         now - resumed_at_ < kMaxReconfirmWait;
}

}  // namespace redwing
