#ifndef REDWING_FRAMEWORK_LOG_LINE_LIMITER_H_
#define REDWING_FRAMEWORK_LOG_LINE_LIMITER_H_

#include <algorithm>

#include "framework/kernel/clock.h"

namespace redwing {

// Bounds the lines that are logged, of a process or of one kind.
class LineLimiter {
 public:
  // Of a process: two lines for each of the 500 requests a second that a fifth
  // of a core carries; about 200 kB.
  static constexpr double kLinesPerSecond = 1000;
  // Starts and changes of the configuration write many lines at once.
  static constexpr double kBurst = 2000;

  LineLimiter() : LineLimiter(kLinesPerSecond, kBurst) {}
  LineLimiter(double lines_per_second, double burst)
      : lines_per_second_(lines_per_second), burst_(burst), left_(burst) {}

  // Takes a line's place; false when there is none left.
  bool TryTake(TimePoint now) {
    left_ =
        std::min(burst_, left_ + ToSeconds(now - last_) * lines_per_second_);
    last_ = now;
    if (left_ < 1) {
      return false;
    }
    left_ -= 1;
    return true;
  }

 private:
  double lines_per_second_;
  double burst_;
  double left_;
  TimePoint last_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_LOG_LINE_LIMITER_H_
