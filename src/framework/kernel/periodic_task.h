#ifndef REDWING_FRAMEWORK_KERNEL_PERIODIC_TASK_H_
#define REDWING_FRAMEWORK_KERNEL_PERIODIC_TASK_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "framework/kernel/clock.h"
#include "framework/kernel/timer.h"

namespace redwing {

// Calls a function at a fixed interval until destroyed or stopped.
class PeriodicTask {
 public:
  PeriodicTask(boost::asio::io_context& io,
               Milliseconds interval,
               std::function<void()> function);

  void Start();
  void Stop();

 private:
  void Schedule();

  Timer timer_;
  Milliseconds interval_;
  std::function<void()> function_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_KERNEL_PERIODIC_TASK_H_
