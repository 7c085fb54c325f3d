#ifndef REDWING_FRAMEWORK_HTTP_STOP_SCHEDULE_H_
#define REDWING_FRAMEWORK_HTTP_STOP_SCHEDULE_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Times of a planned stop, counted from its beginning: a notice, in which new
// requests are accepted, then a drain, in which running ones end.
class StopSchedule {
 public:
  // Time that the process needs to end once no request runs.
  static constexpr Milliseconds kMargin{500};

  // A drain of at most `drain`.
  static StopSchedule WithDrain(Milliseconds notice, Milliseconds drain);
  // A drain that lasts until kMargin before the platform kills the process,
  // which it does `grace` after the beginning.
  static StopSchedule Within(Milliseconds grace, Milliseconds notice);

  // Time until connections are closed when they are idle.
  Milliseconds notice() const { return notice_; }
  // Time until running requests are cut: the last instant of the stop.
  Milliseconds end() const { return end_; }

 private:
  StopSchedule(Milliseconds notice, Milliseconds end)
      : notice_(notice), end_(end) {}

  Milliseconds notice_;
  Milliseconds end_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_STOP_SCHEDULE_H_
