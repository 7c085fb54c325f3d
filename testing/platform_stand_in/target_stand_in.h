#ifndef REDWING_TESTING_PLATFORM_STAND_IN_TARGET_STAND_IN_H_
#define REDWING_TESTING_PLATFORM_STAND_IN_TARGET_STAND_IN_H_

#include <map>
#include <string>
#include <vector>

#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/metrics/metrics.h"

namespace redwing::testing {

// How a target ends an exchange.
enum class TargetMode {
  kAnswer,
  // Runs the request and closes the connection without an answer.
  kLoseAnswer,
  // Answers without its proof.
  kForge,
};

// One run of a request at a target.
struct TargetRun {
  std::string request_id;
  std::string method;
  std::string path;
  std::string workspace;
  std::string authorization;
  std::string deadline;
  TimePoint at;
};

// Stand-in for a target of the platform. Used on the thread of its event loop
// only.
class TargetStandIn : public HttpHandler {
 public:
  TargetStandIn(boost::asio::io_context& io, std::string id, int slots);

  std::string Listen(const std::string& ip);
  void Handle(HttpExchange& exchange, const Yield& yield) override;

  const std::string& id() const { return id_; }
  int slots() const { return slots_; }
  const std::vector<TargetRun>& runs() const { return runs_; }
  int most_at_once() const { return most_at_once_; }
  void SetMode(TargetMode mode) { mode_ = mode; }
  void SetRunTime(Milliseconds time) { run_time_ = time; }

 private:
  boost::asio::io_context& io_;
  std::string id_;
  int slots_;
  SocketRegistry sockets_;
  Metrics metrics_;
  HttpServer server_;
  std::vector<TargetRun> runs_;
  int running_ = 0;
  int most_at_once_ = 0;
  TargetMode mode_ = TargetMode::kAnswer;
  Milliseconds run_time_{20};
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_PLATFORM_STAND_IN_TARGET_STAND_IN_H_
