#ifndef REDWING_FRAMEWORK_LOG_LOG_H_
#define REDWING_FRAMEWORK_LOG_LOG_H_

#include <spdlog/spdlog.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace redwing {

enum class LogStream { kStdout, kStderr };

// Sends the process's log to a stream. A line is a list of `key=value` pairs:
// time, level, the instance's name, the event, and what belongs to it. Lines
// are written in the background of the event loop and never block it: beyond a
// rate, or when nobody reads them, they are left out and counted.
void SetUpLog(std::string_view instance,
              const std::string& level,
              LogStream stream);

// Writes out what is held back, as far as the stream takes it.
void FlushLog();

// Lines that were left out since the start.
uint64_t LostLogLines();

// Returns a text as a value of a log line: in quotes, on one line.
std::string Quoted(std::string_view text);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_LOG_LOG_H_
