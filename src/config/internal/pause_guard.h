#ifndef REDWING_CONFIG_INTERNAL_PAUSE_GUARD_H_
#define REDWING_CONFIG_INTERNAL_PAUSE_GUARD_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Detects pauses of the process by gaps between calls of NoteRunning(), and
// decides whether state from before a pause may be used.
class PauseGuard {
 public:
  // Longer gaps count as a pause. After a shorter one the state is still
  // usable, because a change may take this long to reach every instance.
  static constexpr Milliseconds kPauseLimit{2'000};
  // Time after a pause during which state must be reconfirmed. If neither the
  // store nor a peer has responded by then, none is considered reachable and
  // the old state is used.
  static constexpr Milliseconds kMaxReconfirmWait{2'000};

  // Records that the process runs at `now`. Returns whether a pause has just
  // ended.
  bool NoteRunning(TimePoint now);
  // Returns true if state last confirmed at `confirmed_at` may not be used
  // because the process was paused after that.
  bool MustReconfirm(TimePoint confirmed_at, TimePoint now) const;

 private:
  // Time of the last call of NoteRunning(). Epoch if there was none.
  TimePoint ran_at_;
  // End of the last pause. Epoch if there was none.
  TimePoint resumed_at_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_PAUSE_GUARD_H_
