#include "framework/kernel/process_signals.h"

#include <csignal>

#include "framework/kernel/kernel.h"

namespace redwing {

ProcessSignals::ProcessSignals(Kernel& kernel)
    : kernel_(kernel), signals_(kernel.io(), SIGTERM, SIGINT) {
  Wait();
}

void ProcessSignals::Wait() {
  signals_.async_wait([this](const boost::system::error_code& ec, int) {
    if (ec) {
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
