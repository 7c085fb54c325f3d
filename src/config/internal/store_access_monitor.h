#ifndef REDWING_CONFIG_INTERNAL_STORE_ACCESS_MONITOR_H_
#define REDWING_CONFIG_INTERNAL_STORE_ACCESS_MONITOR_H_

#include <optional>

#include "framework/kernel/clock.h"

namespace redwing {

// Judges by the outcomes of this instance's calls whether the store answers it.
// One call runs at a time.
class StoreAccessMonitor {
 public:
  // A call without an answer for this long counts as refused. A later answer is
  // used, but does not count.
  static constexpr Milliseconds kPatience{500};
  // Time without a refusal after which the store counts as answering again.
  static constexpr Milliseconds kRecoveryTime{2'000};

  void NoteCall(TimePoint now) { pending_since_ = now; }
  void NoteResult(bool answered, TimePoint now);
  // Forgets all calls so far.
  void Reset() { *this = StoreAccessMonitor(); }

  // Returns whether the last call was answered in time.
  bool answered() const { return answered_; }
  // Returns whether the last call failed or was late, or is late by now.
  bool IsRefused(TimePoint now) const;
  // Returns whether a call was refused within the last kRecoveryTime.
  bool WasRefusedLately(TimePoint now) const;

 private:
  bool IsOverdue(TimePoint now) const {
    return pending_since_ && now - *pending_since_ > kPatience;
  }

  std::optional<TimePoint> pending_since_;
  std::optional<TimePoint> last_refused_;
  bool answered_ = false;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_STORE_ACCESS_MONITOR_H_
