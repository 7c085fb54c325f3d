#ifndef REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_
#define REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "framework/http/stop_schedule.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {

class HttpServer;

// Ends servers without cutting a request: goes on serving for the notice of its
// schedule, in which each answer closes its connection so that callers move on,
// then closes idle connections and waits for running requests until the
// schedule ends.
class GracefulStop {
 public:
  static constexpr std::string_view kServiceName = "graceful_stop";

  GracefulStop(boost::asio::io_context& io,
               const StopSchedule& schedule,
               std::function<void()> on_done);

  // Adds a server, which must live as long as this does.
  void AddServer(HttpServer& server) { servers_.push_back(&server); }

  // Calls after the first have no effect.
  void Begin();
  void Cancel();

  // Returns when running requests will be cut; std::nullopt if no stop has
  // begun.
  std::optional<TimePoint> end_time() const;

 private:
  void Tick();

  size_t BusyCount() const;
  size_t ConnectionCount() const;

  std::vector<HttpServer*> servers_;
  StopSchedule schedule_;
  std::function<void()> on_done_;
  bool begun_ = false;
  bool draining_ = false;
  TimePoint begun_at_;
  PeriodicTask tick_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_
