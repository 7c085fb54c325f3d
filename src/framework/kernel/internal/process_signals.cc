#include "framework/kernel/process_signals.h"

#include <csignal>

#include "framework/kernel/kernel.h"
#include "framework/log/log.h"

namespace redwing {

ProcessSignals::ProcessSignals(Kernel& kernel)
    : kernel_(kernel), signals_(kernel.io(), SIGTERM, SIGINT, SIGHUP) {
  Wait();
}

void ProcessSignals::Wait() {
  signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    if (signal == SIGHUP) {
      // All settings are read at the start; a reload must cut nothing.
      spdlog::info("reload asked for: the settings of the start stay in force");
      Wait();
      return;
    }
    if (draining_) {
      kernel_.Stop();
      return;
    }
    draining_ = true;
    Wait();
    kernel_.BeginDrain();
  });
}

}  // namespace redwing
