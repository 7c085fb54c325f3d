#include "framework/kernel/periodic_task.h"

#include "framework/kernel/guard.h"

namespace redwing {

PeriodicTask::PeriodicTask(boost::asio::io_context& io,
                           Milliseconds interval,
                           std::function<void()> function)
    : timer_(io), interval_(interval), function_(std::move(function)) {}

void PeriodicTask::Start() {
  Schedule();
}

void PeriodicTask::Stop() {
  timer_.cancel();
}

void PeriodicTask::Schedule() {
  timer_.expires_after(interval_);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    Schedule();
    RunGuarded("periodic_task", function_);
  });
}

}  // namespace redwing
