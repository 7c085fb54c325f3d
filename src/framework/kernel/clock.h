#ifndef REDWING_FRAMEWORK_KERNEL_CLOCK_H_
#define REDWING_FRAMEWORK_KERNEL_CLOCK_H_

#include <chrono>

namespace redwing {

// All deadlines and leases are measured on the monotonic clock of one process;
// no clock reading is ever compared between two processes.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

// Returns a duration in seconds, as a floating point number.
template <typename Rep, typename Period>
double ToSeconds(std::chrono::duration<Rep, Period> duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_CLOCK_H_
