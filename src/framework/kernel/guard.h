#ifndef REDWING_FRAMEWORK_KERNEL_GUARD_H_
#define REDWING_FRAMEWORK_KERNEL_GUARD_H_

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace redwing {

// Logs and counts an exception that nothing caught. `task`: what it ended.
void ReportUncaught(std::string_view task, const std::exception& exception);

// Returns the number of exceptions reported since the start.
uint64_t UncaughtCount();

// Calls a function. An exception is reported and ends the call alone, not the
// process. Returns whether there was none. Exceptions that unwind a coroutine
// pass, since they are not derived from std::exception.
template <typename Function>
bool RunGuarded(std::string_view task, Function&& function) {
  try {
    std::forward<Function>(function)();
    return true;
  } catch (const std::exception& exception) {
    ReportUncaught(task, exception);
    return false;
  }
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_GUARD_H_
