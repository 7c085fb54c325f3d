// Upstream of a small deployment: registers itself in the store, checks in,
// runs requests, and writes its starts and the arrivals to a file.

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "framework/http/http_client.h"
#include "framework/http/http_exchange.h"
#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "review/stand_ins_3/small_deployment.h"

namespace redwing::review {
namespace {

using nlohmann::json;

constexpr Milliseconds kHeartbeat{1'500};
constexpr Milliseconds kStoreTimeout{1'000};
constexpr int kArguments = 10;
// A cold upstream takes that many times as long.
constexpr int kColdFactor = 2;

class Upstream : public HttpHandler {
 public:
  explicit Upstream(char** arguments)
      : id_(arguments[1]),
        service_(arguments[2]),
        address_(arguments[3]),
        zone_(arguments[4]),
        store_(arguments[5]),
        record_(arguments[6], std::ios::app),
        slots_(std::atoi(arguments[7])),
        run_time_(std::atoi(arguments[8])),
        warm_up_ms_(std::atoi(arguments[9])) {}

  void Run() {
    server_ = std::make_unique<HttpServer>(io_, sockets_, metrics_, *this,
                                           HttpServerLimits());
    server_->Listen(TcpEndpoint(address_));
    record_ << "start " << started_ << std::endl;
    Spawn(io_, [this](const Yield& yield) { CheckIn(yield); });
    const boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>
        guard = boost::asio::make_work_guard(io_);
    io_.run();
  }

  void Handle(HttpExchange& exchange, const Yield& yield) override {
    const std::string request(exchange.Header("X-Redwingcart-Request-Id"));
    const std::string_view wanted =
        exchange.Header("X-Redwingcart-Target-Instance");
    if (!wanted.empty() && wanted != id_) {
      exchange.Respond(Answer(421, request), "", yield);
      return;
    }
    record_ << "arrival " << NowMs() << ' ' << started_ << ' ' << request
            << std::endl;
    if (running_ >= slots_) {
      ResponseHeader header = Answer(503, request);
      header.set("X-Redwingcart-Not-Executed", "1");
      exchange.Respond(std::move(header), "", yield);
      return;
    }
    ++running_;
    SleepFor(io_, run_time_ * (cold_ms() > 0 ? kColdFactor : 1), yield);
    --running_;
    ResponseHeader header = Answer(200, request);
    header.set("X-Redwingcart-Response-Signature", "signed-" + request);
    exchange.Respond(std::move(header), "ran " + request, yield);
  }

 private:
  ResponseHeader Answer(unsigned status, const std::string& request) const {
    ResponseHeader header;
    header.result(status);
    header.set("X-Redwingcart-Request-Id", request);
    header.set("X-Redwingcart-Server-Load",
               std::to_string(running_) + ",0," + std::to_string(slots_));
    return header;
  }

  // Returns how long it stays cold.
  int64_t cold_ms() const {
    return std::max<int64_t>(0, started_ + warm_up_ms_ - NowMs());
  }

  void CheckIn(const Yield& yield) {
    HttpClient client(io_, sockets_);
    while (true) {
      const json entry = {{"service", service_},
                          {"address", address_},
                          {"zone", zone_},
                          {"version", "v1"},
                          {"slots", slots_},
                          {"state", "ready"},
                          {"warmup_time", std::to_string(cold_ms()) + "ms"},
                          {"seq", ++sequence_},
                          {"born", born_}};
      HttpCall call;
      call.endpoint = TcpEndpoint(store_);
      call.method = http::verb::put;
      call.target = "/objects/servers/" + id_;
      call.body = json({{"metadata", {{"name", id_}}}, {"spec", entry}}).dump();
      call.timeout = kStoreTimeout;
      Result<HttpReply> reply = client.Call(call, yield);
      if (reply && reply.value().status == 404) {
        call.method = http::verb::post;
        call.target = "/objects/servers";
        reply = client.Call(call, yield);
      }
      record_ << "check-in " << NowMs() << ' '
              << (reply ? reply.value().status : 0) << std::endl;
      SleepFor(io_, kHeartbeat, yield);
    }
  }

  boost::asio::io_context io_;
  SocketRegistry sockets_{io_};
  Metrics metrics_;
  std::unique_ptr<HttpServer> server_;
  std::string id_;
  std::string service_;
  std::string address_;
  std::string zone_;
  std::string store_;
  std::ofstream record_;
  int slots_;
  Milliseconds run_time_;
  int64_t warm_up_ms_;
  int64_t started_ = NowMs();
  int64_t born_ = std::chrono::duration_cast<Milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  int running_ = 0;
  int sequence_ = 0;
};

}  // namespace
}  // namespace redwing::review

int main(int argc, char** argv) {
  if (argc != redwing::review::kArguments) {
    return redwing::review::kNotRun;
  }
  redwing::review::Upstream(argv).Run();
  return 0;
}
