#ifndef REDWING_FRAMEWORK_PEER_INTERNAL_SOCKET_PEER_TRANSPORT_H_
#define REDWING_FRAMEWORK_PEER_INTERNAL_SOCKET_PEER_TRANSPORT_H_

#include <array>
#include <map>
#include <memory>
#include <vector>

#include "framework/http/connection_acceptor.h"
#include "framework/peer/peer_transport.h"
#include "framework/wire/envelope_codec.h"
#include "framework/wire/replay_window.h"

namespace redwing {

class Metrics;
class TimedSocket;
class SocketRegistry;

// PeerTransport over one UDP socket and one TCP listener with the same number.
class SocketPeerTransport : public PeerTransport {
 public:
  SocketPeerTransport(boost::asio::io_context& io,
                      SocketRegistry& sockets,
                      Metrics& metrics,
                      std::string own_name,
                      std::vector<std::string> secrets);
  ~SocketPeerTransport() override;

  // Binds both sockets. Throws boost::system::system_error.
  void Listen(const boost::asio::ip::udp::endpoint& endpoint);
  void Stop();

  void OnDatagram(MessageKind kind, DatagramHandler handler) override;
  void OnCall(MessageKind kind, CallHandler handler) override;
  void Send(const boost::asio::ip::udp::endpoint& to,
            MessageKind kind,
            const std::string& payload) override;
  Result<std::string> Call(const boost::asio::ip::tcp::endpoint& to,
                           MessageKind kind,
                           const std::string& payload,
                           Milliseconds timeout,
                           const Yield& yield) override;
  void RaiseIncarnation(uint64_t seen) override;
  uint64_t incarnation() const override { return incarnation_; }
  std::string local_address() const override;

 private:
  static constexpr size_t kMaxDatagram = 65536;

  // Returns whether both sockets are bound. Throws on the last attempt.
  bool TryListen(const boost::asio::ip::udp::endpoint& endpoint,
                 bool last_attempt);
  Envelope Wrap(MessageKind kind, std::string payload);
  void Receive();
  // Handles the datagrams that wait.
  void ReadWaiting();
  void HandleDatagram(std::string_view bytes);
  void Serve(boost::asio::ip::tcp::socket accepted);
  void ServeCall(TimedSocket& socket, const Yield& yield);
  void CountDropped(std::string_view reason);

  boost::asio::io_context& io_;
  SocketRegistry& sockets_;
  Metrics& metrics_;
  std::string own_name_;
  EnvelopeCodec codec_;
  boost::asio::ip::udp::socket socket_;
  ConnectionAcceptor acceptor_;
  boost::asio::ip::udp::endpoint from_;
  std::array<char, kMaxDatagram> buffer_{};
  std::map<MessageKind, DatagramHandler> datagram_handlers_;
  std::map<MessageKind, CallHandler> call_handlers_;
  std::map<std::string, ReplayWindow> windows_;
  uint64_t incarnation_;
  uint64_t sequence_ = 0;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_PEER_INTERNAL_SOCKET_PEER_TRANSPORT_H_
