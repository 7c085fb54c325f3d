// Entries of the targets' list that make no sense, and targets that send bytes
// which are not the answer to the request.

#include <fmt/format.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <list>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

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

// Bytes that are sent without end stop after this many.
constexpr size_t kEndless = 256 * 1024 * 1024;
constexpr size_t kBlock = 256 * 1024;
constexpr size_t kMaxGrowth = 32 * 1024 * 1024;

// Repeats a text to blocks, and writes them, with a pause after each, until the
// other side closes or kEndless bytes were written.
void WriteWithoutEnd(tcp::socket& socket,
                     const std::string& text,
                     size_t block_size,
                     Milliseconds pause) {
  std::string block;
  while (block.size() < block_size) {
    block += text;
  }
  boost::system::error_code ec;
  for (size_t sent = 0; !ec && sent < kEndless; sent += block.size()) {
    boost::asio::write(socket, boost::asio::buffer(block), ec);
    std::this_thread::sleep_for(pause);
  }
}

// A target that writes raw bytes: what `respond` returns for the id of a
// request and its number on the connection; none close the connection. After
// them it repeats `filler`, if that is not empty, until its caller closes.
class RawTarget {
 public:
  using Respond = std::function<std::string(const std::string& id, int number)>;

  explicit RawTarget(Respond respond,
                     std::string filler = "",
                     size_t block_size = kBlock,
                     Milliseconds pause = Milliseconds(0))
      : respond_(std::move(respond)),
        filler_(std::move(filler)),
        block_size_(block_size),
        pause_(pause),
        acceptor_(io_, TcpEndpoint("127.0.0.1:0")),
        thread_([this]() { Accept(); }) {}
  ~RawTarget() {
    stopped_ = true;
    // Wakes the thread that accepts.
    boost::system::error_code ignored;
    tcp::socket(io_).connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (tcp::socket& socket : sockets_) {
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& connection : connections_) {
      connection.join();
    }
  }
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  std::string address() const {
    return FormatEndpoint(acceptor_.local_endpoint());
  }

 private:
  void Accept() {
    while (true) {
      boost::system::error_code ec;
      tcp::socket socket = acceptor_.accept(ec);
      if (stopped_ || ec) {
        return;
      }
      sockets_.push_back(std::move(socket));
      tcp::socket& kept = sockets_.back();
      connections_.emplace_back([this, &kept]() { Serve(kept); });
    }
  }

  void Serve(tcp::socket& socket) {
    std::string buffer;
    for (int number = 1;; ++number) {
      boost::system::error_code ec;
      const size_t size = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n\r\n", ec);
      if (ec) {
        return;
      }
      const std::string bytes = respond_(IdOf(buffer.substr(0, size)), number);
      buffer.erase(0, size);
      boost::asio::write(socket, boost::asio::buffer(bytes), ec);
      if (!ec && !filler_.empty()) {
        WriteWithoutEnd(socket, filler_, block_size_, pause_);
      }
      if (ec || !filler_.empty() ||
          bytes.find("\r\n\r\n") == std::string::npos) {
        socket.shutdown(tcp::socket::shutdown_both, ec);
        return;
      }
    }
  }

  static std::string IdOf(const std::string& head) {
    const std::string name = "X-Redwingcart-Request-Id: ";
    const size_t begin = head.find(name) + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }

  boost::asio::io_context io_;
  Respond respond_;
  std::string filler_;
  size_t block_size_;
  Milliseconds pause_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopped_ = false;
  std::list<tcp::socket> sockets_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

// Leaves one target of the region of instance 0, at an address of the test.
void ReplaceTargets(PlatformStandIn& fleet, const RawTarget& target) {
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      fleet.store().Remove("servers", fleet.target(i).id());
    }
    fleet.store().Put("servers", "i-raw",
                      {{"service", "svc"},
                       {"address", target.address()},
                       {"zone", "zone-0"},
                       {"version", "v1"},
                       {"slots", 1},
                       {"state", "ready"},
                       {"warmup_time", "0ms"},
                       {"seq", 1},
                       {"born", 1'000}});
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

std::string Head(int status, const std::string& id, const std::string& more) {
  return fmt::format("HTTP/1.1 {} X\r\nX-Redwingcart-Request-Id: {}\r\n{}\r\n",
                     status, id, more);
}

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
  RawTarget target([&](const std::string& id, int number) {
    const std::lock_guard<std::mutex> lock(mutex);
    if (number == 1) {
      refusal = Head(503, id,
                     "X-Redwingcart-Not-Executed: 1\r\nContent-Length: 0\r\n");
      return refusal;
    }
    ran.insert(id);
    return refusal +
           Head(200, id,
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
  RawTarget target([&](const std::string& id, int /*number*/) {
    ++asked;
    const std::string head = Head(200, id, more);
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
      [&](const std::string& id, int /*number*/) {
        return Head(200, id, answer.fields) + answer.beginning;
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
      [chunked](const std::string& id, int /*number*/) {
        return Head(200, id,
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
    WriteWithoutEnd(socket, "x", kBlock, Milliseconds(0));
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
