#include "framework/log/log.h"

#include <unistd.h>

#include <memory>

#include "framework/log/internal/bounded_sink.h"

namespace redwing {

namespace {
std::shared_ptr<BoundedSink> g_sink;
}  // namespace

void SetUpLog(std::string_view instance,
              const std::string& level,
              LogStream stream) {
  g_sink = std::make_shared<BoundedSink>(
      stream == LogStream::kStdout ? STDOUT_FILENO : STDERR_FILENO);
  spdlog::set_default_logger(
      std::make_shared<spdlog::logger>(std::string(instance), g_sink));
  spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l instance=%n %v");
  spdlog::set_level(spdlog::level::from_str(level));
  spdlog::flush_on(spdlog::level::warn);
}

void FlushLog() {
  spdlog::default_logger_raw()->flush();
}

uint64_t LostLogLines() {
  return g_sink ? g_sink->lost() : 0;
}

std::string Quoted(std::string_view text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
    }
    quoted += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  quoted += '"';
  return quoted;
}

}  // namespace redwing
