#include "framework/kernel/guard.h"

#include <atomic>

#include "framework/log/log.h"

namespace redwing {

namespace {
std::atomic<uint64_t> g_uncaught = 0;
}  // namespace

void ReportUncaught(std::string_view task, const std::exception& exception) {
  ++g_uncaught;
  spdlog::error("event=uncaught_exception task={} reason={}", task,
                Quoted(exception.what()));
}

uint64_t UncaughtCount() {
  return g_uncaught;
}

}  // namespace redwing
