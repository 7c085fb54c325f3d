#include "framework/log/log.h"

#include <spdlog/sinks/stdout_sinks.h>

#include <cstdio>

namespace redwing {

namespace {
constexpr size_t kBufferBytes = 64 * 1024;
}  // namespace

void FlushLog() {
  spdlog::default_logger_raw()->flush();
}

void SetUpLog(std::string_view program, const std::string& level) {
  spdlog::set_default_logger(spdlog::stderr_logger_st(std::string(program)));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %n %v");
  spdlog::set_level(spdlog::level::from_str(level));
  // A system call for each line would be a large part of a request's cost.
  setvbuf(stderr, nullptr, _IOFBF, kBufferBytes);
  spdlog::flush_on(spdlog::level::warn);
}

}  // namespace redwing
