#ifndef REDWING_ROUTING_INTERNAL_HEALTH_POLLER_H_
#define REDWING_ROUTING_INTERNAL_HEALTH_POLLER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "framework/http/http_client.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {

class SocketRegistry;
class TargetState;

// Polls the health checks of targets to detect their departure.
class HealthPoller {
 public:
  using StateList = std::vector<std::shared_ptr<TargetState>>;

  HealthPoller(boost::asio::io_context& io, SocketRegistry& sockets);

  // Starts polling the targets that `targets` returns.
  void Start(std::function<StateList()> targets);
  void Stop();

 private:
  void PollAll();
  void Poll(const std::shared_ptr<TargetState>& state, const Yield& yield);

  boost::asio::io_context& io_;
  HttpClient client_;
  std::function<StateList()> targets_;
  PeriodicTask task_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_HEALTH_POLLER_H_
