#ifndef REDWING_CONFIG_RESTORE_HOLD_H_
#define REDWING_CONFIG_RESTORE_HOLD_H_

#include <cstdint>

#include "framework/kernel/clock.h"

namespace redwing {

// Tracks the era of the store. After the store was restored from an older copy,
// operators and targets write again what the copy lacks. Until they have had
// the time for it, entries of the new era are held back, so that no instance
// returns to an older configuration.
class RestoreHold {
 public:
  // The platform states that entries which targets write are back within about
  // two seconds.
  static constexpr Milliseconds kDuration{2'000};

  // Records an era that the store or a peer reported. Returns whether it is
  // higher than a known one: the store was restored.
  bool Observe(uint32_t era, TimePoint now);
  // Returns how long entries of this era are still held back.
  Milliseconds Remaining(uint32_t era, TimePoint now) const;

  // Highest known era; 0 if none is known.
  uint32_t era() const { return era_; }

 private:
  uint32_t era_ = 0;
  TimePoint held_until_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_RESTORE_HOLD_H_
