#ifndef REDWING_ROUTING_INTERNAL_LINK_CHECKER_H_
#define REDWING_ROUTING_INTERNAL_LINK_CHECKER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "framework/errors/failure.h"
#include "framework/http/http_types.h"
#include "framework/kernel/periodic_task.h"
#include "routing/target_links.h"

namespace redwing {

class Metrics;
class SocketRegistry;

// Checks this instance's links to targets by connecting to some of them,
// whenever TargetLinks asks for it.
class LinkChecker {
 public:
  using Endpoints = std::vector<boost::asio::ip::tcp::endpoint>;

  LinkChecker(boost::asio::io_context& io,
              SocketRegistry& sockets,
              Metrics& metrics);

  // Starts checking. `endpoints` returns the addresses of the targets that this
  // instance may lead; `on_change` is called when the links are lost or back.
  void Start(std::function<Endpoints()> endpoints,
             std::function<void()> on_change);
  void Stop();

  // See TargetLinks::up().
  bool up() const { return links_.up(); }
  // Returns the failure of requests for targets while the links are lost.
  static Failure LostFailure();
  // Records that a request could not be sent to a target, or that the
  // connection broke before the target responded.
  void RecordFailure();

 private:
  struct Check {
    size_t pending = 0;
    size_t reached = 0;
  };

  void CheckIfDue();
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint,
               const std::shared_ptr<Check>& check,
               const Yield& yield);
  void EndCheck(size_t reached);

  boost::asio::io_context& io_;
  SocketRegistry& sockets_;
  Metrics& metrics_;
  TargetLinks links_;
  std::function<Endpoints()> endpoints_;
  std::function<void()> on_change_;
  std::mt19937_64 random_;
  PeriodicTask task_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_LINK_CHECKER_H_
