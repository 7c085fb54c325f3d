// Entries of the targets' list that make no sense, and targets that send bytes
// which are not the answer to the request.

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <set>
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
// As in PlatformStandIn::Manifest(). Callers have a final answer within half a
// second of it; the rest is for a busy machine.
constexpr Milliseconds kRouteTimeout{3'000};
constexpr Milliseconds kAnswerSlack{1'500};

constexpr size_t kBlock = RawTarget::kBlock;
constexpr size_t kMaxGrowth = 32 * 1024 * 1024;

// Leaves one target of the region of instance 0, at an address of the test.
void ReplaceTargets(PlatformStandIn& fleet, const RawTarget& target) {
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    fleet.ListOther("i-raw", target.address(), 0, 1);
  });
}

// Samples the resident memory of the instances; the highest growth of one.
class MemoryWatch {
 public:
  explicit MemoryWatch(PlatformStandIn& fleet) : fleet_(fleet) {
    for (int i = 0; i < kInstances; ++i) {
      before_.push_back(fleet_.instance(i).ResidentBytes());
    }
    thread_ = std::thread([this]() { Run(); });
  }
  ~MemoryWatch() { Stop(); }
  MemoryWatch(const MemoryWatch&) = delete;
  MemoryWatch& operator=(const MemoryWatch&) = delete;

  size_t Stop() {
    stopped_ = true;
    if (thread_.joinable()) {
      thread_.join();
    }
    return growth_;
  }

 private:
  void Run() {
    while (!stopped_) {
      for (int i = 0; i < kInstances; ++i) {
        const size_t now = fleet_.instance(i).ResidentBytes();
        growth_ = std::max(growth_, now > before_[i] ? now - before_[i] : 0);
      }
      std::this_thread::sleep_for(Milliseconds(10));
    }
  }

  PlatformStandIn& fleet_;
  std::vector<size_t> before_;
  size_t growth_ = 0;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

TEST_CASE("odd entries among the targets do not stop the reading of the list") {
  const std::string item =
      R"({{"metadata":{{"name":"odd","revision":1}},"spec":{}}})";
  const std::string entry =
      R"({{"service":"svc","address":"{}","zone":"zone-0","version":"v1","slots":{},"state":"ready","warmup_time":"0ms","seq":1}})";
  constexpr size_t kDeep = 100'000;
  const std::string odd = GENERATE_COPY(
      fmt::format(fmt::runtime(item),
                  std::string(kDeep, '[') + std::string(kDeep, ']')),
      fmt::format(fmt::runtime(item),
                  fmt::format(fmt::runtime(entry), "127.0.0.1:80", "1e999")),
      fmt::format(fmt::runtime(item),
                  fmt::format(fmt::runtime(entry), "127.0.0.1:99999", "4")),
      fmt::format(fmt::runtime(item), "\"\xfe\xff\xc3\x28\""),
      fmt::format(fmt::runtime(item),
                  R"({"service":"redwing-entry","address":"127.0.0.1:80",)"
                  R"("zone":"zone-0","version":"v1","slots":4,)"
                  R"("state":"ready","warmup_time":"0ms","seq":1})"),
      std::string(R"({"metadata":{"name":"odd"},"spec":{}})"),
      std::string(R"({"spec":7})"), std::string("[]"));
  CAPTURE(odd.substr(0, 200));
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.store().AddRawItem("servers", odd);
    for (size_t i = 1; i < fleet.target_count(); ++i) {
      fleet.List(i, "draining");
    }
  });
  // The list is followed: only one target is left.
  std::this_thread::sleep_for(kListLimit);
  constexpr int kRequests = 10;
  size_t before = 0;
  fleet.OnLoop([&]() { before = fleet.target(0).runs().size(); });
  for (int i = 0; i < kRequests; ++i) {
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, fmt::format("odd-{}", i));
    CHECK((reply && reply.value().status == 200));
  }
  fleet.OnLoop(
      [&]() { CHECK(fleet.target(0).runs().size() == before + kRequests); });
  for (int i = 0; i < kInstances; ++i) {
    CHECK(fleet.instance(i).running());
  }
  // Another one starts with such a list.
  fleet.StartInstance(kInstances);
  CHECK(fleet.AwaitReady(kStartLimit));
  const Result<HttpReply> reply = fleet.Send(kInstances, "odd-new");
  CHECK((reply && reply.value().status == 200));
}

TEST_CASE("a refusal that a target writes once more refuses no other request") {
  std::mutex mutex;
  std::set<std::string> ran;
  std::string refusal;
  RawTarget target([&](const RawRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (request.number == 1) {
      refusal = RawTarget::Head(
          503, request.id,
          "X-Redwingcart-Not-Executed: 1\r\nContent-Length: 0\r\n");
      return refusal;
    }
    ran.insert(request.id);
    return refusal +
           RawTarget::Head(200, request.id,
                           "X-Redwingcart-Response-Signature: s\r\n"
                           "Content-Length: 2\r\n") +
           "ok";
  });
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  ReplaceTargets(fleet, target);
  std::this_thread::sleep_for(kListLimit / 2);
  for (int i = 0; i < 20; ++i) {
    const std::string id = fmt::format("again-{}", i);
    const Result<HttpReply> reply =
        fleet.Send(0, id, http::verb::post, "/unsafe/1");
    REQUIRE(reply);
    const std::lock_guard<std::mutex> lock(mutex);
    CAPTURE(id, reply.value().status, reply.value().body);
    // 503 promises that the request has not run.
    CHECK((reply.value().status != 503 || ran.count(id) == 0));
  }
  const std::lock_guard<std::mutex> lock(mutex);
  CHECK_FALSE(ran.empty());
}

TEST_CASE("an answer that ends within its head is never a success") {
  std::atomic<int> asked = 0;
  const std::string more = GENERATE(
      as<std::string>(), "", "Content-Length: 2\r\nX-",
      "X-Redwingcart-Response-Signature: s\r\nContent-Le",
      "X-Redwingcart-Response-Signature: s\r\nContent-Length: 2\r\n",
      "X-Redwingcart-Response-Signature: s\r\nTransfer-Encoding: chun");
  CAPTURE(more);
  RawTarget target([&](const RawRequest& request) {
    ++asked;
    const std::string head = RawTarget::Head(200, request.id, more);
    return head.substr(0, head.size() - 2);
  });
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  ReplaceTargets(fleet, target);
  std::this_thread::sleep_for(kListLimit / 2);
  for (const http::verb method : {http::verb::get, http::verb::post}) {
    for (int i = 0; i < 5; ++i) {
      const Result<HttpReply> reply = fleet.Send(
          i % kInstances,
          fmt::format("cut-{}-{}", StdView(http::to_string(method)), i), method,
          method == http::verb::get ? "/safe/1" : "/unsafe/1");
      CHECK((!reply || reply.value().status >= 500));
    }
  }
  CHECK(asked > 0);
}

// Guards against a target's bytes without end filling the memory of an
// instance, or holding its callers past the route's timeout.
TEST_CASE("an answer without end takes no memory and ends at the timeout") {
  const std::string signed_head = "X-Redwingcart-Response-Signature: s\r\n";
  const std::string chunked = signed_head + "Transfer-Encoding: chunked\r\n";
  struct Answer {
    std::string fields;
    std::string beginning;
    std::string filler;
  };
  const Answer answer = GENERATE_COPY(
      Answer{chunked, "5;", "x"}, Answer{chunked, "5;a=\"", "x"},
      Answer{chunked, "", "1000\r\n" + std::string(4096, 'x') + "\r\n"},
      Answer{chunked, "5\r\nhello\r\n0\r\nX: ", "x"},
      Answer{chunked, "5\r\nhello\r\n0\r\n", "X: y\r\n"},
      Answer{signed_head, "", "x"});
  CAPTURE(answer.fields, answer.beginning, answer.filler.substr(0, 20));
  RawTarget target(
      [&](const RawRequest& request) {
        return RawTarget::Head(200, request.id, answer.fields) +
               answer.beginning;
      },
      answer.filler);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  ReplaceTargets(fleet, target);
  std::this_thread::sleep_for(kListLimit / 2);
  MemoryWatch memory(fleet);
  for (int i = 0; i < 2 * kInstances; ++i) {
    const TimePoint sent = Clock::now();
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, fmt::format("endless-{}", i));
    // The request may have run.
    CHECK((!reply || reply.value().status == 502 ||
           reply.value().status == 504 ||
           (reply.value().status == 503 && i > 0)));
    CHECK(Clock::now() - sent < kRouteTimeout + kAnswerSlack);
  }
  CHECK(memory.Stop() < kMaxGrowth);
  for (int i = 0; i < kInstances; ++i) {
    CHECK(fleet.instance(i).running());
  }
}

// Guards against answers that are streamed on past the route's timeout.
TEST_CASE("an answer that is streamed without end ends at the timeout") {
  // Less than a caller of the test accepts, more than is kept of an answer.
  constexpr size_t kPiece = 32 * 1024;
  constexpr Milliseconds kPause{50};
  const bool chunked = GENERATE(true, false);
  CAPTURE(chunked);
  RawTarget target(
      [chunked](const RawRequest& request) {
        return RawTarget::Head(
            200, request.id,
            std::string("X-Redwingcart-Response-Signature: s\r\n") +
                (chunked ? "Transfer-Encoding: chunked\r\n" : ""));
      },
      chunked ? "1000\r\n" + std::string(4096, 'x') + "\r\n" : "x", kPiece,
      kPause);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  ReplaceTargets(fleet, target);
  std::this_thread::sleep_for(kListLimit / 2);
  for (int i = 0; i < kInstances; ++i) {
    const TimePoint sent = Clock::now();
    const Result<HttpReply> reply =
        fleet.Send(i, fmt::format("streamed-{}", i));
    // What was cut must not look complete, chunked or not.
    CHECK((!reply || reply.value().status >= 500));
    CHECK(Clock::now() - sent < kRouteTimeout + kAnswerSlack);
  }
}

// Guards against a caller's bytes without end filling the memory of an
// instance.
TEST_CASE("a request without end takes no memory and is refused") {
  const std::string beginning = GENERATE(
      as<std::string>(), "5;", "5\r\nhello\r\n0\r\nX: ", "5\r\nhello\r\n0");
  CAPTURE(beginning);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  MemoryWatch memory(fleet);
  for (int i = 0; i < kInstances; ++i) {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(TcpEndpoint(fleet.front(i)));
    boost::asio::write(socket,
                       boost::asio::buffer(fmt::format(
                           "POST /unsafe/1 HTTP/1.1\r\nHost: shop.example\r\n"
                           "X-Redwingcart-Request-Id: endless-{}\r\n"
                           "Authorization: Bearer key-one\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n{}",
                           i, beginning)));
    RawTarget::WriteWithoutEnd(socket, "x", kBlock, Milliseconds(0));
  }
  CHECK(memory.Stop() < kMaxGrowth);
  for (int i = 0; i < kInstances; ++i) {
    CHECK(fleet.instance(i).running());
  }
  const Result<HttpReply> other = fleet.Send(0, "other");
  CHECK((other && other.value().status == 200));
}

}  // namespace
}  // namespace redwing::testing
