#include "framework/http/core_module.h"

#include "framework/http/socket_registry.h"
#include "framework/kernel/guard.h"
#include "framework/kernel/kernel.h"
#include "framework/kernel/periodic_task.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"

namespace redwing {

namespace {
// What a log line is late by at the most.
constexpr Milliseconds kFlushInterval{100};
}  // namespace

CoreModule::CoreModule(std::string source_address)
    : source_address_(std::move(source_address)) {}

CoreModule::~CoreModule() = default;

void CoreModule::ResolveDependencies(Kernel& kernel) {
  flush_log_ = std::make_unique<PeriodicTask>(kernel.io(), kFlushInterval,
                                              [this]() { HandleLog(); });
}

void CoreModule::Start() {
  flush_log_->Start();
}

void CoreModule::Stop() {
  flush_log_->Stop();
  // The last lines tell how the process ended.
  FlushLog();
}

void CoreModule::HandleLog() {
  FlushLog();
  metrics_
      ->Gauge("redwing_log_lines_lost",
              "Log lines left out beyond the rate or unread, in lines")
      .Set(static_cast<double>(LostLogLines()));
  metrics_
      ->Gauge("redwing_uncaught_exceptions",
              "Exceptions that ended a task since the start, in exceptions")
      .Set(static_cast<double>(UncaughtCount()));
}

void CoreModule::RegisterServices(Kernel& kernel) {
  metrics_ = std::make_shared<Metrics>();
  kernel.Register(metrics_);
  const std::shared_ptr<SocketRegistry> sockets =
      std::make_shared<SocketRegistry>(kernel.io());
  if (!source_address_.empty()) {
    sockets->SetSourceAddress(boost::asio::ip::make_address(source_address_));
  }
  kernel.Register(sockets);
}

}  // namespace redwing
