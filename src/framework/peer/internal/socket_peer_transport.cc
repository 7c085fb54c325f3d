#include "framework/peer/internal/socket_peer_transport.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "framework/http/socket_registry.h"
#include "framework/http/timed_socket.h"
#include "framework/kernel/bind.h"
#include "framework/kernel/guard.h"
#include "framework/kernel/spawn.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr Milliseconds kServeTimeout{5'000};
constexpr size_t kNonceBytes = 16;
constexpr size_t kNonceText = kNonceBytes * 2;
constexpr int kListenAttempts = 16;
constexpr int kReceiveBuffer = 1024 * 1024;  // bytes
// Datagrams read in one turn of the event loop. With one a turn, busy loops
// would hear of their peers seconds late.
constexpr int kReadsAtOnce = 64;

// Incarnations grow from one start of an instance to the next while its clock
// does; where it went back, peers answer with the incarnation they have seen.
uint64_t StartIncarnation() {
  return static_cast<uint64_t>(
      std::chrono::duration_cast<Microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Frames are a 4-byte big-endian length and that many bytes.
Result<std::string> ReadFrame(TimedSocket& socket, const Yield& yield) {
  boost::system::error_code ec;
  uint32_t length = 0;
  boost::asio::async_read(
      socket.socket(), boost::asio::buffer(&length, sizeof(length)), yield[ec]);
  boost::endian::big_to_native_inplace(length);
  if (ec || length > EnvelopeCodec::kMaxBytes) {
    return NotRun(Errc::kPeerUnreachable, ec ? ec.message() : "oversized");
  }
  std::string bytes(length, '\0');
  boost::asio::async_read(socket.socket(), boost::asio::buffer(bytes),
                          yield[ec]);
  if (ec) {
    return NotRun(Errc::kPeerUnreachable, ec.message());
  }
  return bytes;
}

bool WriteFrame(TimedSocket& socket,
                const std::string& bytes,
                const Yield& yield) {
  const uint32_t length =
      boost::endian::native_to_big(static_cast<uint32_t>(bytes.size()));
  std::string frame(reinterpret_cast<const char*>(&length), sizeof(length));
  frame += bytes;
  boost::system::error_code ec;
  boost::asio::async_write(socket.socket(), boost::asio::buffer(frame),
                           yield[ec]);
  return !ec;
}

}  // namespace

SocketPeerTransport::SocketPeerTransport(boost::asio::io_context& io,
                                         SocketRegistry& sockets,
                                         Metrics& metrics,
                                         std::string own_name,
                                         std::vector<std::string> secrets)
    : io_(io),
      sockets_(sockets),
      metrics_(metrics),
      own_name_(std::move(own_name)),
      codec_(std::move(secrets)),
      socket_(io),
      acceptor_(io, [this](tcp::socket socket) { Serve(std::move(socket)); }),
      incarnation_(StartIncarnation()) {}

SocketPeerTransport::~SocketPeerTransport() = default;

void SocketPeerTransport::Listen(const udp::endpoint& endpoint) {
  // With port 0 the number that UDP gets may be taken for TCP: try another.
  const int attempts = endpoint.port() == 0 ? kListenAttempts : 1;
  for (int attempt = 1; !TryListen(endpoint, attempt == attempts); ++attempt) {
  }
  Receive();
  acceptor_.Start();
}

bool SocketPeerTransport::TryListen(const udp::endpoint& endpoint,
                                    bool last_attempt) {
  socket_.open(endpoint.protocol());
  socket_.set_option(
      boost::asio::socket_base::receive_buffer_size(kReceiveBuffer));
  const Milliseconds limit =
      endpoint.port() == 0 ? Milliseconds(0) : kBindLimit;
  boost::system::error_code ec = Bind(socket_, endpoint, limit);
  if (ec) {
    throw boost::system::system_error(ec, "peer address");
  }
  socket_.non_blocking(true);
  const tcp::endpoint tcp_endpoint(endpoint.address(),
                                   socket_.local_endpoint().port());
  acceptor_.socket().open(tcp_endpoint.protocol());
  acceptor_.socket().set_option(tcp::acceptor::reuse_address(true));
  ec = Bind(acceptor_.socket(), tcp_endpoint, limit);
  if (!ec) {
    acceptor_.socket().listen(boost::asio::socket_base::max_listen_connections,
                              ec);
  }
  if (!ec) {
    return true;
  }
  if (last_attempt) {
    throw boost::system::system_error(ec, "peer address");
  }
  Stop();
  return false;
}

void SocketPeerTransport::Stop() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  acceptor_.socket().close(ignored);
}

void SocketPeerTransport::OnDatagram(MessageKind kind,
                                     DatagramHandler handler) {
  datagram_handlers_[kind] = std::move(handler);
}

void SocketPeerTransport::OnCall(MessageKind kind, CallHandler handler) {
  call_handlers_[kind] = std::move(handler);
}

void SocketPeerTransport::Send(const udp::endpoint& to,
                               MessageKind kind,
                               const std::string& payload) {
  const std::string bytes = codec_.Encode(Wrap(kind, payload));
  boost::system::error_code ec;
  // A full send buffer loses the datagram, as the network may.
  socket_.send_to(boost::asio::buffer(bytes), to, 0, ec);
  metrics_
      .Get("redwing_peer_sent_bytes_total", "Datagram payload sent, in bytes",
           {{"kind", std::to_string(static_cast<int>(kind))}})
      .Add(bytes.size());
}

Result<std::string> SocketPeerTransport::Call(const tcp::endpoint& to,
                                              MessageKind kind,
                                              const std::string& payload,
                                              Milliseconds timeout,
                                              const Yield& yield) {
  TimedSocket socket(sockets_, tcp::socket(io_));
  socket.ExpiresAfter(timeout);
  boost::system::error_code ec;
  sockets_.OpenFor(to, socket.socket());
  socket.socket().async_connect(to, yield[ec]);
  if (ec) {
    return NotRun(Errc::kPeerUnreachable, ec.message());
  }
  const std::string nonce = RandomHex(kNonceBytes);
  const std::string request = codec_.Encode(Wrap(kind, nonce + payload));
  if (!WriteFrame(socket, request, yield)) {
    return MayHaveRun(Errc::kPeerUnreachable, "sending failed");
  }
  const Result<std::string> bytes = ReadFrame(socket, yield);
  if (!bytes) {
    return bytes.error();
  }
  metrics_
      .Get("redwing_peer_call_bytes_total",
           "Bytes of calls to peers and their replies")
      .Add(request.size() + bytes.value().size());
  const Result<Envelope> reply = codec_.Decode(bytes.value());
  if (!reply || reply.value().payload.compare(0, kNonceText, nonce) != 0) {
    CountDropped("call_reply");
    return MayHaveRun(Errc::kBadMessage, "reply of another call");
  }
  return reply.value().payload.substr(kNonceText);
}

void SocketPeerTransport::RaiseIncarnation(uint64_t seen) {
  if (seen > incarnation_) {
    incarnation_ = seen + 1;
  }
}

std::string SocketPeerTransport::local_address() const {
  return FormatEndpoint(acceptor_.socket().local_endpoint());
}

Envelope SocketPeerTransport::Wrap(MessageKind kind, std::string payload) {
  return {own_name_, incarnation_, ++sequence_, kind, std::move(payload)};
}

void SocketPeerTransport::Receive() {
  socket_.async_wait(udp::socket::wait_read,
                     [this](const boost::system::error_code& /*ec*/) {
                       if (socket_.is_open()) {
                         ReadWaiting();
                         Receive();
                       }
                     });
}

void SocketPeerTransport::ReadWaiting() {
  for (int i = 0; i < kReadsAtOnce && socket_.is_open(); ++i) {
    boost::system::error_code ec;
    const size_t size = socket_.receive_from(boost::asio::buffer(buffer_),
                                             from_, /*flags=*/0, ec);
    if (ec == boost::asio::error::would_block) {
      return;
    }
    // Other errors are of one datagram: a peer's port may be closed.
    if (!ec) {
      RunGuarded("datagram", [&]() { HandleDatagram({buffer_.data(), size}); });
    }
  }
}

void SocketPeerTransport::HandleDatagram(std::string_view bytes) {
  metrics_
      .Get("redwing_peer_received_bytes_total",
           "Datagram payload received, in bytes")
      .Add(bytes.size());
  const Result<Envelope> envelope = codec_.Decode(bytes);
  if (!envelope) {
    CountDropped(envelope.error().detail == "digest" ? "digest" : "malformed");
    return;
  }
  const Envelope& message = envelope.value();
  if (message.sender == own_name_) {
    CountDropped("own_name");
    return;
  }
  if (!windows_[message.sender].Accept(message.incarnation, message.sequence)) {
    CountDropped("replayed");
    return;
  }
  const auto handler = datagram_handlers_.find(message.kind);
  if (handler == datagram_handlers_.end()) {
    CountDropped("unknown_kind");
    return;
  }
  handler->second(message, from_);
}

void SocketPeerTransport::Serve(tcp::socket accepted) {
  const std::shared_ptr<TimedSocket> socket =
      std::make_shared<TimedSocket>(sockets_, std::move(accepted));
  socket->ExpiresAfter(kServeTimeout);
  Spawn(io_, [this, socket](const Yield& yield) { ServeCall(*socket, yield); });
}

void SocketPeerTransport::ServeCall(TimedSocket& socket, const Yield& yield) {
  const Result<std::string> bytes = ReadFrame(socket, yield);
  if (!bytes) {
    return;
  }
  const Result<Envelope> envelope = codec_.Decode(bytes.value());
  if (!envelope || envelope.value().payload.size() < kNonceText) {
    CountDropped("call");
    return;
  }
  const Envelope& call = envelope.value();
  const auto handler = call_handlers_.find(call.kind);
  if (handler == call_handlers_.end()) {
    CountDropped("unknown_kind");
    return;
  }
  Envelope stripped = call;
  stripped.payload = call.payload.substr(kNonceText);
  const std::string reply =
      call.payload.substr(0, kNonceText) + handler->second(stripped);
  WriteFrame(socket, codec_.Encode(Wrap(call.kind, reply)), yield);
}

void SocketPeerTransport::CountDropped(std::string_view reason) {
  metrics_
      .Get("redwing_peer_dropped_total",
           "Messages of peers that were dropped, in messages",
           {{"reason", reason}})
      .Add();
}

}  // namespace redwing
