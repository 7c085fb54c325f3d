#include "framework/peer/internal/socket_peer_transport.h"

#include <catch2/catch.hpp>

#include "framework/http/socket_registry.h"
#include "framework/kernel/tests/busy_loop.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"

namespace redwing {
namespace {

using boost::asio::ip::udp;

TEST_CASE("a busy event loop reads many datagrams in a few turns") {
  constexpr int kDatagrams = 100;
  // Turns within which all must be read.
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
  RunBusyTurns(io, kTurns);
  CHECK(read == kDatagrams);
  sender.Stop();
  receiver.Stop();
  io.poll();
}

}  // namespace
}  // namespace redwing
