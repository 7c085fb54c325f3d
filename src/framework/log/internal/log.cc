#include "framework/log/log.h"

#include <spdlog/sinks/stdout_sinks.h>

namespace redwing {

void SetUpLog(std::string_view program, const std::string& level) {
  spdlog::set_default_logger(spdlog::stderr_logger_st(std::string(program)));
  spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %L %n %v");
  spdlog::set_level(spdlog::level::from_str(level));
  spdlog::flush_on(spdlog::level::info);
}

}  // namespace redwing
