#include "framework/http/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "framework/http/http_handler.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/tests/busy_loop.h"
#include "framework/metrics/metrics.h"

namespace redwing {
namespace {

using boost::asio::ip::tcp;

class NoHandler : public HttpHandler {
 public:
  void Handle(HttpExchange& /*exchange*/, const Yield& /*yield*/) override {}
};

TEST_CASE("a busy event loop accepts many connections in a few turns") {
  constexpr int kConnections = 100;
  // Turns within which all must be accepted.
  constexpr int kTurns = 10;
  boost::asio::io_context io;
  SocketRegistry sockets(io);
  Metrics metrics;
  NoHandler handler;
  HttpServer server(io, sockets, metrics, handler, HttpServerLimits());
  server.Listen(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  std::vector<tcp::socket> callers;
  for (int i = 0; i < kConnections; ++i) {
    callers.emplace_back(io);
    callers.back().connect(server.local_endpoint());
  }
  RunBusyTurns(io, kTurns);
  CHECK(server.connection_count() == kConnections);
  // Sessions must end before what they refer to.
  callers.clear();
  while (server.connection_count() > 0) {
    io.run_one();
  }
}

// Guards against a start that fails since the former process has not ended yet.
TEST_CASE("a server waits for an address that is still in use") {
  boost::asio::io_context io;
  SocketRegistry sockets(io);
  Metrics metrics;
  NoHandler handler;
  tcp::acceptor former(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const tcp::endpoint address = former.local_endpoint();
  std::thread ending([&former]() {
    std::this_thread::sleep_for(Milliseconds(200));
    former.close();
  });
  HttpServer server(io, sockets, metrics, handler, HttpServerLimits());
  CHECK_NOTHROW(server.Listen(address));
  ending.join();
  CHECK(server.local_endpoint() == address);
}

}  // namespace
}  // namespace redwing
