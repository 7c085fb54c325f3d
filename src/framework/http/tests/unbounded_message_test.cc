// Messages without end, in each part that the parser reads before it hands
// anything out. No connection may hold more than its bound of them.

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "framework/http/http_connection.h"
#include "framework/http/http_exchange.h"
#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/spawn.h"
#include "framework/metrics/metrics.h"

namespace redwing {
namespace {

using boost::asio::ip::tcp;

// Bytes that a peer sends at most; far above what sockets buffer.
constexpr size_t kEndless = 64 * 1024 * 1024;
constexpr Milliseconds kDeadline{60'000};

// Writes a beginning, then filler until the other side closes. Returns whether
// it closed before kEndless bytes were written.
bool ClosedWhileWriting(tcp::socket& socket,
                        const std::string& beginning,
                        const std::string& filler,
                        const Yield& yield) {
  boost::system::error_code ec;
  boost::asio::async_write(socket, boost::asio::buffer(beginning), yield[ec]);
  std::string block;
  while (block.size() < 64 * 1024) {
    block += filler;
  }
  for (size_t sent = 0; !ec && sent < kEndless; sent += block.size()) {
    boost::asio::async_write(socket, boost::asio::buffer(block), yield[ec]);
  }
  return static_cast<bool>(ec);
}

// Reads every body to its end and answers.
class ReadingHandler : public HttpHandler {
 public:
  void Handle(HttpExchange& exchange, const Yield& yield) override {
    const Result<std::string> body = exchange.ReadWholeBody(1024, yield);
    if (!body) {
      error_ = body.error();
    }
    exchange.Respond(body ? 200 : 400, "text/plain", "", yield);
  }
  const std::optional<Failure>& error() const { return error_; }

 private:
  std::optional<Failure> error_;
};

struct Part {
  std::string beginning;
  std::string filler;
};

// Guards against buffering a chunk's size line, an extension or trailers until
// memory is exhausted.
TEST_CASE("a response without end fails once the buffer is full") {
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  const Part part = GENERATE_COPY(
      Part{"HTTP/1.1 200 OK\r\nX: ", "x"}, Part{"HTTP/1.1 ", "x"},
      Part{head + "\r\n5;", "x"}, Part{head + "\r\n5;a=\"", "x"},
      Part{head + "\r\n", "0"}, Part{head + "\r\n5\r\nhello\r\n0\r\nX: ", "x"},
      Part{head + "\r\n5\r\nhello\r\n0\r\n", "X: y\r\n"});
  CAPTURE(part.beginning);
  boost::asio::io_context io;
  SocketRegistry sockets(io);
  tcp::acceptor acceptor(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  bool written = false;
  bool closed = false;
  Spawn(io, [&](const Yield& yield) {
    tcp::socket socket(io);
    boost::system::error_code ec;
    acceptor.async_accept(socket, yield[ec]);
    closed = ClosedWhileWriting(socket, part.beginning, part.filler, yield);
    written = true;
  });
  std::optional<Failure> failure;
  bool timed_out = false;
  Spawn(io, [&](const Yield& yield) {
    HttpConnection connection(io, sockets);
    REQUIRE(connection.Connect(acceptor.local_endpoint(),
                               Clock::now() + kDeadline, yield));
    RequestHeader header;
    header.method(http::verb::get);
    header.target("/");
    const Result<void> sent =
        connection.BeginRequest(std::move(header), nullptr, 0, true, yield);
    REQUIRE(sent);
    const Result<void> head_read = connection.ReadHeader(yield);
    if (!head_read) {
      failure = head_read.error();
    }
    std::string piece(1024, '\0');
    while (!failure && !connection.body_done()) {
      const Result<size_t> size =
          connection.ReadBody(piece.data(), piece.size(), yield);
      if (!size) {
        failure = size.error();
      }
    }
    timed_out = connection.timed_out();
    CHECK_FALSE(connection.reusable());
  });
  while (!failure || !written) {
    io.run_one();
  }
  CHECK(closed);
  CHECK(failure->verdict == Verdict::kMayHaveRun);
  CHECK_FALSE(timed_out);
}

TEST_CASE("a request without end is refused once the buffer is full") {
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const Part part = GENERATE_COPY(
      Part{"POST /", "x"}, Part{head + "X: ", "x"}, Part{chunked + "5;", "x"},
      Part{chunked, "0"}, Part{chunked + "5\r\nhello\r\n0\r\nX: ", "x"},
      Part{chunked + "5\r\nhello\r\n0\r\n", "X: y\r\n"});
  CAPTURE(part.beginning);
  boost::asio::io_context io;
  SocketRegistry sockets(io);
  Metrics metrics;
  ReadingHandler handler;
  HttpServer server(io, sockets, metrics, handler, HttpServerLimits());
  server.Listen(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  bool done = false;
  bool closed = false;
  Spawn(io, [&](const Yield& yield) {
    tcp::socket socket(io);
    boost::system::error_code ec;
    socket.async_connect(server.local_endpoint(), yield[ec]);
    closed = ClosedWhileWriting(socket, part.beginning, part.filler, yield);
    done = true;
  });
  while (!done || server.connection_count() > 0) {
    io.run_one();
  }
  CHECK(closed);
  if (handler.error()) {
    CHECK(handler.error()->errc == Errc::kMalformedRequest);
    CHECK(handler.error()->verdict == Verdict::kNotRun);
  }
}

}  // namespace
}  // namespace redwing
