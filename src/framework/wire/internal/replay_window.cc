#include "framework/wire/replay_window.h"

namespace redwing {

bool ReplayWindow::Accept(uint64_t incarnation, uint64_t sequence) {
  if (incarnation < incarnation_) {
    return false;
  }
  if (incarnation > incarnation_) {
    incarnation_ = incarnation;
    newest_ = sequence;
    seen_.reset();
    seen_.set(sequence % kSize);
    return true;
  }
  if (sequence + kSize <= newest_) {
    return false;
  }
  if (sequence > newest_) {
    if (sequence - newest_ >= kSize) {
      seen_.reset();
    } else {
      for (uint64_t s = newest_ + 1; s <= sequence; ++s) {
        seen_.reset(s % kSize);
      }
    }
    newest_ = sequence;
  } else if (seen_.test(sequence % kSize)) {
    return false;
  }
  seen_.set(sequence % kSize);
  return true;
}

}  // namespace redwing
