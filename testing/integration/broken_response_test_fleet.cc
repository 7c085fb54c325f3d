// Targets that break off a response while the request is still being written,
// or write bytes that are no response: no caller takes them for an answer.

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"
#include "testing/platform_stand_in/raw_target.h"

namespace redwing::testing {
namespace {

using boost::asio::ip::tcp;

constexpr int kInstances = 2;
constexpr Milliseconds kStartLimit{15'000};
constexpr Milliseconds kListLimit{5'000};
constexpr Milliseconds kCallTimeout{6'000};
// As in PlatformStandIn::Manifest().
constexpr Milliseconds kRouteTimeout{3'000};
constexpr size_t kMaxBody = 8 * 1024 * 1024;  // bytes
constexpr size_t kPart = 20'000;              // bytes

// Leaves one target, at an address of the test, in the region of instance 0:
// requests to instance 1 are forwarded.
void UseTarget(PlatformStandIn& fleet, const RawTarget& target) {
  nlohmann::json manifest = PlatformStandIn::Manifest(9);
  manifest["limits"]["maxBodyBytes"] = kMaxBody;
  fleet.PutManifest(manifest);
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    fleet.ListOther("i-raw", target.address(), 0, 8);
  });
  std::this_thread::sleep_for(kListLimit);
}

struct Request {
  http::verb method = http::verb::get;
  std::string path = "/safe/1";
  size_t body_size = 0;
};

std::vector<Request> AllRequests() {
  return {{http::verb::get, "/safe/1", 0},
          {http::verb::post, "/unsafe/1", 0},
          {http::verb::put, "/safe/1", 300'000},
          {http::verb::post, "/unsafe/1", 300'000}};
}

Result<HttpReply> Send(const PlatformStandIn& fleet,
                       int instance,
                       const std::string& id,
                       const Request& request) {
  HttpCall call;
  call.endpoint = TcpEndpoint(fleet.front(instance));
  call.method = request.method;
  call.target = request.path;
  call.body = std::string(request.body_size, 'u');
  call.timeout = kCallTimeout;
  call.headers = {{"Host", "shop.example"},
                  {"X-Redwingcart-Request-Id", id},
                  {"X-Redwingcart-Deadline-Ms", "3000"},
                  {"Authorization", "Bearer key-one"}};
  return CallSync(call);
}

std::string Signed(const std::string& more) {
  return "X-Redwingcart-Response-Signature: signed\r\n" + more;
}

bool IsSuccess(const Result<HttpReply>& reply) {
  return reply && reply.value().status >= 200 && reply.value().status < 300;
}

// Guards against the part of a response that a caller gets as a whole one,
// since the target reset the connection while the upload was still being
// written.
TEST_CASE("a response that a reset breaks off in an upload is never whole") {
  const Milliseconds delay = GENERATE(Milliseconds(0), Milliseconds(100));
  const size_t size = GENERATE(300'000U, 3'000'000U);
  CAPTURE(delay.count(), size);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  RawTarget target([](const RawRequest& request) {
    return RawTarget::Head(200, request.id, Signed("")) +
           std::string(kPart, 'x');
  });
  target.ResetAfterResponse(delay);
  UseTarget(fleet, target);
  constexpr int kUploads = 8;
  std::map<unsigned, int> statuses;
  for (int i = 0; i < kUploads; ++i) {
    const Request request = {i % 4 < 2 ? http::verb::post : http::verb::put,
                             i % 4 < 2 ? "/unsafe/1" : "/safe/1", size};
    const Result<HttpReply> reply =
        Send(fleet, i % kInstances, fmt::format("cut-{}", i), request);
    ++statuses[reply ? reply.value().status : 0];
    CHECK_FALSE(IsSuccess(reply));
  }
  CAPTURE(statuses);
  // The target was asked.
  CHECK(statuses[502] + statuses[0] > 0);
}

// Returns forms of responses that are none; ID stands for the request's id.
std::vector<std::string> MalformedForms() {
  const std::string inner =
      RawTarget::Head(200, "ID", Signed("Content-Length: 2\r\n")) + "ab";
  const std::string fields = "X-Redwingcart-Request-Id: ID\r\n" + Signed("");
  const std::string length = "Content-Length: 2\r\n";
  const std::string inner_length =
      fmt::format("Content-Length: {}\r\n\r\n", inner.size());
  return {
      "HTTP/1.1 000 X\r\n" + fields + length + "\r\nab",
      "HTTP/1.1 000 X\r\n" + fields + inner_length + inner,
      "HTTP/1.1 100 X\r\n" + fields + inner_length + inner,
      "HTTP/1.1 700 X\r\n" + fields + length + "\r\nab",
      "HTTP/1.1 200 X\r\n" + fields + "A b: c\r\n" + length + "\r\nab",
      "HTTP/1.1 200 X\r\n" + fields + "\x01: c\r\n" + length + "\r\nab",
      "HTTP/1.1 200 X\r\n" + fields + "Content-Length : 2\r\n\r\nab",
      "HTTP/1.1 200 X\r\n" + fields +
          "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
      "HTTP/1.1 200 X\r\n" + fields + "Transfer-Encoding: gzip\r\n\r\nab",
  };
}

// A target that writes one form for all requests. With `kept`, only from the
// second request of a connection on; the first gets a proper response.
class FormTarget {
 public:
  FormTarget() : target_([this](const RawRequest& r) { return Respond(r); }) {}

  const RawTarget& target() const { return target_; }
  void Use(const std::string& form, bool kept) {
    const std::lock_guard<std::mutex> lock(mutex_);
    form_ = form;
    kept_ = kept;
  }

 private:
  std::string Respond(const RawRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (kept_ && request.number == 1) {
      return RawTarget::Head(200, request.id, Signed("Content-Length: 2\r\n")) +
             "ab";
    }
    std::string bytes = form_;
    for (size_t at = bytes.find("ID\r\n"); at != std::string::npos;
         at = bytes.find("ID\r\n", at)) {
      bytes.replace(at, 2, request.id);
    }
    return bytes;
  }

  std::mutex mutex_;
  std::string form_;
  bool kept_ = false;
  RawTarget target_;
};

// Guards against a malformed response that callers get as an answer, or at the
// deadline only.
TEST_CASE("a malformed response is answered 502 at once") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  FormTarget target;
  UseTarget(fleet, target.target());
  // Ids are as long as the ID in the form, so that lengths stay right.
  int number = 10;
  for (const std::string& form : MalformedForms()) {
    for (const Request& request : AllRequests()) {
      target.Use(form, /*kept=*/false);
      const int instance = number % kInstances;
      const TimePoint begun = Clock::now();
      const Result<HttpReply> reply =
          Send(fleet, instance, std::to_string(number++), request);
      CAPTURE(form, instance, request.path, request.body_size);
      REQUIRE(reply);
      CHECK(reply.value().status == 502);
      CHECK(Clock::now() - begun < kRouteTimeout);
    }
  }
}

// The connection is in use again, so that its next response may be a late one.
TEST_CASE("a malformed response on a kept connection is answered 502") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  FormTarget target;
  UseTarget(fleet, target.target());
  int number = 10;
  for (const std::string& form : MalformedForms()) {
    target.Use(form, /*kept=*/true);
    const Request request = {http::verb::post, "/unsafe/1", 0};
    for (int instance = 0; instance < kInstances; ++instance) {
      std::map<unsigned, int> statuses;
      for (int i = 0; i < 2; ++i) {
        const Result<HttpReply> reply =
            Send(fleet, instance, std::to_string(number++), request);
        ++statuses[reply ? reply.value().status : 0];
      }
      CAPTURE(form, instance, statuses);
      CHECK(statuses[200] == 1);
      CHECK(statuses[502] == 1);
    }
  }
}

// Guards against fields after the body that change how callers read it. RFC
// 9110 section 6.5.1.
TEST_CASE("trailers of a response are not passed on as its header") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  RawTarget target([](const RawRequest& request) {
    return RawTarget::Head(200, request.id,
                           Signed("Transfer-Encoding: chunked\r\n")) +
           "2\r\nab\r\n0\r\nContent-Encoding: gzip\r\nX-Late: 1\r\n\r\n";
  });
  UseTarget(fleet, target);
  for (int instance = 0; instance < kInstances; ++instance) {
    const Result<HttpReply> reply = fleet.Send(instance, "trailer");
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
    CHECK(reply.value().body == "ab");
    CHECK(reply.value().header.count("Content-Encoding") == 0);
    CHECK(reply.value().header.count("X-Late") == 0);
  }
}

// Returns how the connection of an HTTP/1.0 caller ended, and what it got.
std::pair<boost::system::error_code, std::string> SendOldRequest(
    const std::string& address,
    const std::string& id) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect(TcpEndpoint(address));
  boost::asio::write(socket,
                     boost::asio::buffer(fmt::format(
                         "POST /unsafe/1 HTTP/1.0\r\nHost: shop.example\r\n"
                         "X-Redwingcart-Request-Id: {}\r\n"
                         "X-Redwingcart-Deadline-Ms: 3000\r\n"
                         "Authorization: Bearer key-one\r\n\r\n",
                         id)));
  std::string got;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(got), ec);
  return {ec, got};
}

// Guards against a truncated response that looks whole to a caller which knows
// the end of a body only from the end of the connection.
TEST_CASE("an HTTP/1.0 caller sees that a response broke off") {
  const bool chunked = GENERATE(true, false);
  CAPTURE(chunked);
  // Longer than an instance keeps of any response.
  const std::string body(3'000'000, 'x');
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  RawTarget target([&](const RawRequest& request) {
    return RawTarget::Head(
               200, request.id,
               Signed(chunked ? "Transfer-Encoding: chunked\r\n" : "")) +
           (chunked ? fmt::format("{:x}\r\n", body.size() + 1) : "") + body;
  });
  target.ResetAfterResponse(Milliseconds(300));
  UseTarget(fleet, target);
  for (int i = 0; i < 2 * kInstances; ++i) {
    const auto [end, got] =
        SendOldRequest(fleet.front(i % kInstances), fmt::format("old-{}", i));
    CAPTURE(i, got.size(), got.substr(0, 300));
    const bool refused = got.starts_with("HTTP/1.1 502");
    CHECK((refused || end == boost::asio::error::connection_reset));
  }
}

}  // namespace
}  // namespace redwing::testing
