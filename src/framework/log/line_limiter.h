#ifndef REDWING_FRAMEWORK_LOG_LINE_LIMITER_H_
#define REDWING_FRAMEWORK_LOG_LINE_LIMITER_H_

#include <algorithm>

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds the lines that a process logs.
class LineLimiter {
 public:
  // Two lines for each of the 500 requests a second that a fifth of a core
  // carries; about 200 kB.
  static constexpr double kLinesPerSecond = 1000;
  // Starts and changes of the configuration write many lines at once.
  static constexpr double kBurst = 2000;

  // Takes a line's place; false when there is none left.
  bool TryTake(TimePoint now) {
    left_ = std::min(kBurst, left_ + ToSeconds(now - last_) * kLinesPerSecond);
    last_ = now;
    if (left_ < 1) {
      return false;
    }
    left_ -= 1;
    return true;
  }

 private:
  double left_ = kBurst;
  TimePoint last_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_LOG_LINE_LIMITER_H_
