#ifndef REDWING_FRAMEWORK_PEER_PEER_TRANSPORT_H_
#define REDWING_FRAMEWORK_PEER_PEER_TRANSPORT_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"
#include "framework/wire/envelope.h"

namespace redwing {

// Messages between instances: datagrams for what may be lost, calls over TCP
// for what is large or must arrive.
class PeerTransport {
 public:
  static constexpr std::string_view kServiceName = "peer_transport";

  // Handles a datagram.
  using DatagramHandler =
      std::function<void(const Envelope& envelope,
                         const boost::asio::ip::udp::endpoint& from)>;
  // Answers a call with a payload.
  using CallHandler = std::function<std::string(const Envelope& envelope)>;

  virtual ~PeerTransport() = default;

  virtual void OnDatagram(MessageKind kind, DatagramHandler handler) = 0;
  virtual void OnCall(MessageKind kind, CallHandler handler) = 0;

  // Sends a datagram; it may be lost, repeated or reordered.
  virtual void Send(const boost::asio::ip::udp::endpoint& to,
                    MessageKind kind,
                    const std::string& payload) = 0;

  // Calls a peer over TCP and returns the payload of its reply. A reply is
  // accepted only for this very call.
  virtual Result<std::string> Call(const boost::asio::ip::tcp::endpoint& to,
                                   MessageKind kind,
                                   const std::string& payload,
                                   Milliseconds timeout,
                                   const Yield& yield) = 0;

  // Raises the own incarnation above one that a peer has seen.
  virtual void RaiseIncarnation(uint64_t seen) = 0;
  virtual uint64_t incarnation() const = 0;

  // Where datagrams and calls arrive.
  virtual std::string local_address() const = 0;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_PEER_PEER_TRANSPORT_H_
