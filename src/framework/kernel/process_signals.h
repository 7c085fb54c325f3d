#ifndef REDWING_FRAMEWORK_KERNEL_PROCESS_SIGNALS_H_
#define REDWING_FRAMEWORK_KERNEL_PROCESS_SIGNALS_H_

#include <boost/asio/signal_set.hpp>

namespace redwing {

class Kernel;

// Turns the first SIGTERM or SIGINT into a graceful shutdown. During it, a
// further SIGINT stops the process immediately, and a further SIGTERM changes
// nothing. SIGHUP never changes anything. Releases held signals.
class ProcessSignals {
 public:
  explicit ProcessSignals(Kernel& kernel);

 private:
  void Wait();

  Kernel& kernel_;
  boost::asio::signal_set signals_;
  bool draining_ = false;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_PROCESS_SIGNALS_H_
