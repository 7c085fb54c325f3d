#include "config/restore_hold.h"

namespace redwing {

bool RestoreHold::Observe(uint32_t era, TimePoint now) {
  if (era <= era_) {
    return false;
  }
  const bool restored = era_ > 0;
  era_ = era;
  if (restored) {
    held_until_ = now + kDuration;
  }
  return restored;
}

Milliseconds RestoreHold::Remaining(uint32_t era, TimePoint now) const {
  if (era < era_ || now >= held_until_) {
    return Milliseconds(0);
  }
  return std::chrono::ceil<Milliseconds>(held_until_ - now);
}

}  // namespace redwing
