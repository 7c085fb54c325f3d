#include "framework/kernel/process_signals.h"

#include <csignal>

#include "framework/kernel/held_signals.h"
#include "framework/kernel/kernel.h"
#include "framework/log/log.h"

namespace redwing {

ProcessSignals::ProcessSignals(Kernel& kernel)
    : kernel_(kernel), signals_(kernel.io(), SIGTERM, SIGINT, SIGHUP) {
  Wait();
  ReleaseSignals();
}

void ProcessSignals::Wait() {
  signals_.async_wait([this](const boost::system::error_code& ec, int signal) {
    if (ec) {
      return;
    }
    if (signal == SIGHUP) {
      // All settings are read at the start; a reload must cut nothing.
      spdlog::info("event=reload outcome=settings_of_the_start_stay");
      Wait();
      return;
    }
    if (draining_ && signal == SIGINT) {
      kernel_.Stop();
      return;
    }
    if (draining_) {
      spdlog::info("event=stop_requested outcome=already_stopping");
      Wait();
      return;
    }
    draining_ = true;
    Wait();
    kernel_.BeginDrain();
  });
}

}  // namespace redwing
