#ifndef REDWING_CONFIG_INTERNAL_PAUSE_GUARD_H_
#define REDWING_CONFIG_INTERNAL_PAUSE_GUARD_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Notices by gaps between signs of life that the process stood still, and tells
// whether it may act on what it knew before.
class PauseGuard {
 public:
  // What changed within so short a time may still be used anywhere.
  static constexpr Milliseconds kPauseLimit{2'000};
  // Without an answer for so long there is nobody to ask.
  static constexpr Milliseconds kMaxReconfirmWait{2'000};

  // Takes a sign of life. Returns whether it ends a pause.
  bool NoteRunning(TimePoint now);
  // Returns whether state of `confirmed_at` is too old to act on, since the
  // process stood still after it.
  bool MustReconfirm(TimePoint confirmed_at, TimePoint now) const;

 private:
  TimePoint ran_at_;
  TimePoint resumed_at_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_PAUSE_GUARD_H_
