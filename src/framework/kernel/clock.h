#ifndef REDWING_FRAMEWORK_KERNEL_CLOCK_H_
#define REDWING_FRAMEWORK_KERNEL_CLOCK_H_

#include <chrono>
#include <ctime>

namespace redwing {

// The monotonic clock of one machine, on which all deadlines and leases are
// measured. It goes on while the machine is suspended, which
// std::chrono::steady_clock does not, so that a lease cannot outlive a
// suspension. No reading is ever compared between two machines.
class Clock {
 public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;

  // Named by the standard's requirements for clocks.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) +
                      std::chrono::nanoseconds(time.tv_nsec));
  }
};

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
