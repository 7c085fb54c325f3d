#ifndef REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_
#define REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_

#include <functional>

#include "framework/kernel/periodic_task.h"

namespace redwing {

class HttpServer;

// Ends a server without cutting a request: goes on serving for a notice time,
// so that callers hear of it, then closes idle connections and waits for
// running requests, at most for a limit.
class GracefulStop {
 public:
  GracefulStop(boost::asio::io_context& io,
               HttpServer& server,
               Milliseconds notice,
               Milliseconds limit,
               std::function<void()> on_done);

  // Calls after the first have no effect.
  void Begin();
  void Cancel();

 private:
  void Tick();

  HttpServer& server_;
  Milliseconds notice_;
  Milliseconds limit_;
  std::function<void()> on_done_;
  bool begun_ = false;
  TimePoint begun_at_;
  PeriodicTask tick_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_GRACEFUL_STOP_H_
