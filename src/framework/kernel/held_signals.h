#ifndef REDWING_FRAMEWORK_KERNEL_HELD_SIGNALS_H_
#define REDWING_FRAMEWORK_KERNEL_HELD_SIGNALS_H_

namespace redwing {

// Ignores SIGHUP and blocks SIGTERM and SIGINT, from the start of a daemon
// until it can handle them.
void HoldSignals();

// Delivers SIGTERM and SIGINT, also those sent since HoldSignals().
void ReleaseSignals();

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_HELD_SIGNALS_H_
