#ifndef REDWING_FRAMEWORK_KERNEL_PROCESS_SIGNALS_H_
#define REDWING_FRAMEWORK_KERNEL_PROCESS_SIGNALS_H_

#include <boost/asio/signal_set.hpp>

namespace redwing {

class Kernel;

// Turns the first SIGTERM or SIGINT into a graceful shutdown and the second
// into an immediate stop. SIGHUP changes nothing.
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
