#include "config/internal/store_access_monitor.h"

namespace redwing {

void StoreAccessMonitor::NoteResult(bool answered, TimePoint now) {
  answered_ = answered && !IsOverdue(now);
  if (!answered_) {
    last_refused_ = now;
  }
  pending_since_.reset();
}

bool StoreAccessMonitor::IsRefused(TimePoint now) const {
  return (last_refused_ && !answered_) || IsOverdue(now);
}

bool StoreAccessMonitor::WasRefusedLately(TimePoint now) const {
  return IsRefused(now) ||
         (last_refused_ && now - *last_refused_ < kRecoveryTime);
}

}  // namespace redwing
