#include "framework/http/stop_schedule.h"

#include <algorithm>

namespace redwing {

StopSchedule StopSchedule::WithDrain(Milliseconds notice, Milliseconds drain) {
  return {notice, notice + drain};
}

StopSchedule StopSchedule::Within(Milliseconds grace, Milliseconds notice) {
  const Milliseconds end = std::max(Milliseconds(0), grace - kMargin);
  return {std::min(notice, end), end};
}

}  // namespace redwing
