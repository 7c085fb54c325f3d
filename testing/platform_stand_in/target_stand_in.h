#ifndef REDWING_TESTING_PLATFORM_STAND_IN_TARGET_STAND_IN_H_
#define REDWING_TESTING_PLATFORM_STAND_IN_TARGET_STAND_IN_H_

#include <optional>
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
  static constexpr std::chrono::seconds kRateWindow{4};

  TargetStandIn(boost::asio::io_context& io, std::string id, int slots);

  std::string Listen(const std::string& ip);
  void Handle(HttpExchange& exchange, const Yield& yield) override;

  const std::string& id() const { return id_; }
  int slots() const { return slots_; }
  const std::vector<TargetRun>& runs() const { return runs_; }
  int most_at_once() const { return most_at_once_; }
  void SetMode(TargetMode mode) { mode_ = mode; }
  void SetRunTime(Milliseconds time) { run_time_ = time; }
  // Says in all answers that it leaves, or no more.
  void SetLeaving(bool leaving);
  // Requests that arrived later than this after the first answer that said so.
  int ArrivedAfterLeaving(Milliseconds allowed) const;
  // Names in all answers the requests a second that it takes from all
  // instances together, or no more.
  void SetRateLimit(std::optional<double> per_second);
  // Most requests that arrived in one window of kRateWindow, of the windows
  // that began half a second or more after the first answer that named the
  // limit.
  int MostInRateWindow() const;
  // Requests that may arrive in such a window.
  int AllowedInRateWindow() const;
  // Turns each request away and asks for a time, or, with none, runs them.
  void SetBackoff(std::optional<Milliseconds> backoff) { backoff_ = backoff; }
  // Most requests that arrived inside one time that it had asked for, from half
  // a second after it asked.
  int most_inside_backoff() const { return most_inside_backoff_; }
  int turned_away() const { return static_cast<int>(asked_.size()); }

 private:
  // A time for which it has asked for no requests.
  struct AskedTime {
    TimePoint from;
    TimePoint end;
    int arrived = 0;
  };

  void NoteArrival();
  void TurnAway(HttpExchange& exchange,
                const std::string& request_id,
                const Yield& yield);
  ResponseHeader Answer(unsigned status, std::string_view request_id);

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
  bool leaving_ = false;
  std::optional<TimePoint> said_leaving_at_;
  std::vector<TimePoint> arrivals_;
  std::optional<Milliseconds> backoff_;
  std::vector<AskedTime> asked_;
  int most_inside_backoff_ = 0;
  std::optional<double> rate_limit_;
  std::optional<TimePoint> named_limit_at_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_PLATFORM_STAND_IN_TARGET_STAND_IN_H_
