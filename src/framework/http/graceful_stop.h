#ifndef REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_
#define REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_

#include <functional>
#include <string_view>
#include <vector>

#include "framework/kernel/periodic_task.h"

namespace redwing {

class HttpServer;

// Ends servers without cutting a request: goes on serving for a notice time,
// in which each answer closes its connection so that callers move on, then
// closes idle connections and waits for running requests, at most for a limit.
class GracefulStop {
 public:
  static constexpr std::string_view kServiceName = "graceful_stop";

  GracefulStop(boost::asio::io_context& io,
               Milliseconds notice,
               Milliseconds limit,
               std::function<void()> on_done);

  // Adds a server, which must live as long as this does.
  void AddServer(HttpServer& server) { servers_.push_back(&server); }

  // Calls after the first have no effect.
  void Begin();
  void Cancel();

 private:
  void Tick();

  size_t BusyCount() const;
  size_t ConnectionCount() const;

  std::vector<HttpServer*> servers_;
  Milliseconds notice_;
  Milliseconds limit_;
  std::function<void()> on_done_;
  bool begun_ = false;
  bool draining_ = false;
  TimePoint begun_at_;
  PeriodicTask tick_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_
