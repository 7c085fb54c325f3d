#ifndef REDWING_FRAMEWORK_LOG_LOG_H_
#define REDWING_FRAMEWORK_LOG_LOG_H_

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

namespace redwing {

// Sends the process's log to standard error with its program name. Lines are
// written only for changes of state; what happens often is counted.
void SetUpLog(std::string_view program, const std::string& level);

// Writes out what SetUpLog()'s buffer holds. Warnings are written at once.
void FlushLog();

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_LOG_LOG_H_
