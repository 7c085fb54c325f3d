#include "framework/kernel/held_signals.h"

#include <csignal>

namespace redwing {

namespace {

void ChangeStopSignals(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  // Daemons have one thread.
  sigprocmask(how, &signals, nullptr);
}

}  // namespace

void HoldSignals() {
  std::signal(SIGHUP, SIG_IGN);
  ChangeStopSignals(SIG_BLOCK);
}

void ReleaseSignals() {
  ChangeStopSignals(SIG_UNBLOCK);
}

}  // namespace redwing
