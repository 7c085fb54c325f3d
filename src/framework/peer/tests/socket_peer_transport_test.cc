#include "framework/peer/internal/socket_peer_transport.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>

#include "framework/http/socket_registry.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"

namespace redwing {
namespace {

using boost::asio::ip::udp;

TEST_CASE("a busy event loop reads many datagrams in a few turns") {
  constexpr int kDatagrams = 100;
  // Other work of each turn, and turns within which all must be read.
  constexpr int kTasks = 200;
  constexpr int kTurns = 10;
  boost::asio::io_context io;
  SocketRegistry sockets(io);
  Metrics metrics;
  const udp::endpoint loopback(boost::asio::ip::address_v4::loopback(), 0);
  SocketPeerTransport sender(io, sockets, metrics, "sender", {"secret"});
  SocketPeerTransport receiver(io, sockets, metrics, "receiver", {"secret"});
  sender.Listen(loopback);
  receiver.Listen(loopback);
  int read = 0;
  receiver.OnDatagram(
      MessageKind::kHeartbeat,
      [&read](const Envelope&, const udp::endpoint&) { ++read; });
  for (int i = 0; i < kDatagrams; ++i) {
    sender.Send(UdpEndpoint(receiver.local_address()), MessageKind::kHeartbeat,
                "beat");
  }
  int done = 0;
  const std::function<void()> task = [&]() {
    ++done;
    if (done < kTasks * kTurns) {
      boost::asio::post(io, task);
    }
  };
  for (int i = 0; i < kTasks; ++i) {
    boost::asio::post(io, task);
  }
  while (done < kTasks * kTurns) {
    io.run_one();
  }
  CHECK(read == kDatagrams);
  sender.Stop();
  receiver.Stop();
  io.poll();
}

}  // namespace
}  // namespace redwing
