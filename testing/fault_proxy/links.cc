#include "testing/fault_proxy/links.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <deque>

#include "framework/kernel/sleep.h"
#include "framework/kernel/spawn.h"
#include "framework/kernel/timer.h"
#include "framework/log/log.h"

namespace redwing::testing {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

// Both sockets of a forwarded connection.
struct LinkConnection {
  explicit LinkConnection(boost::asio::io_context& io) : near(io), far(io) {}
  tcp::socket near;
  tcp::socket far;

  void Close() {
    boost::system::error_code ignored;
    near.close(ignored);
    far.close(ignored);
  }
  // Closes with a reset, so that the peer sees an error.
  void Reset() {
    boost::system::error_code ignored;
    for (tcp::socket* const socket : {&near, &far}) {
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    Close();
  }
};

namespace {

using ConnectionPtr = std::shared_ptr<LinkConnection>;

constexpr size_t kPiece = 64 * 1024;  // bytes
constexpr Milliseconds kPoll{2};
constexpr Milliseconds kCrossWait{200};

// A piece of one connection that waits to be swapped with another's.
struct CrossedPiece {
  std::string* bytes = nullptr;
};
CrossedPiece g_waiting_piece;

std::string_view FirstLine(std::string_view bytes) {
  constexpr size_t kShown = 24;  // bytes
  return bytes.substr(0, std::min(bytes.find('\r'), kShown));
}

// Returns where the body begins in a piece; 0 if no answer begins in it.
size_t BodyBegin(std::string_view bytes) {
  constexpr std::string_view kAnswerBegin = "HTTP/1.1 ";
  constexpr std::string_view kHeaderEnd = "\r\n\r\n";
  const size_t end = bytes.find(kHeaderEnd);
  return bytes.starts_with(kAnswerBegin) && end != std::string_view::npos
             ? end + kHeaderEnd.size()
             : 0;
}

// Waits for another connection's piece and swaps the two.
void Cross(FaultProxy& proxy, std::string* bytes, const Yield& yield) {
  if (g_waiting_piece.bytes != nullptr) {
    spdlog::info("swapped {} bytes '{}' with {} bytes '{}'",
                 g_waiting_piece.bytes->size(),
                 FirstLine(*g_waiting_piece.bytes), bytes->size(),
                 FirstLine(*bytes));
    std::swap(*g_waiting_piece.bytes, *bytes);
    g_waiting_piece.bytes = nullptr;
    return;
  }
  g_waiting_piece.bytes = bytes;
  const TimePoint end = Clock::now() + kCrossWait;
  while (g_waiting_piece.bytes == bytes && Clock::now() < end) {
    SleepFor(proxy.kernel().io(), kPoll, yield);
  }
  if (g_waiting_piece.bytes == bytes) {
    g_waiting_piece.bytes = nullptr;
  }
}

// Copies one direction of a connection. Reading goes on while earlier pieces
// are delayed, so a delay does not lower the throughput.
class Pump : public std::enable_shared_from_this<Pump> {
 public:
  Pump(FaultProxy& proxy,
       ConnectionPtr connection,
       tcp::socket& source,
       tcp::socket& sink,
       int from,
       int to,
       bool answers)
      : proxy_(proxy),
        connection_(std::move(connection)),
        source_(source),
        sink_(sink),
        from_(from),
        to_(to),
        answers_(answers),
        wake_(proxy.kernel().io()) {}

  void Start() {
    const std::shared_ptr<Pump> self = shared_from_this();
    Spawn(proxy_.kernel().io(),
          [self](const Yield& yield) { self->Read(yield); });
    Spawn(proxy_.kernel().io(),
          [self](const Yield& yield) { self->Write(yield); });
  }

 private:
  struct Piece {
    TimePoint at;
    std::string bytes;
  };
  static constexpr size_t kMaxQueued = 512;

  void Read(const Yield& yield) {
    std::string buffer(kPiece, '\0');
    while (true) {
      boost::system::error_code ec;
      const size_t size =
          source_.async_read_some(boost::asio::buffer(buffer), yield[ec]);
      if (ec) {
        ended_ = true;
        wake_.cancel();
        return;
      }
      while (queue_.size() >= kMaxQueued && sink_.is_open()) {
        SleepFor(proxy_.kernel().io(), kPoll, yield);
      }
      // Counted as it enters the line: what the proxy delivers in bunches, when
      // it is late, was sent evenly.
      proxy_.CountBytes(from_, to_, size);
      const TimePoint at =
          proxy_.LineTime(from_, to_, size) + proxy_.Rule(from_, to_).delay;
      queue_.push_back({at, buffer.substr(0, size)});
      wake_.cancel();
    }
  }

  void Write(const Yield& yield) {
    while (true) {
      if (queue_.empty()) {
        if (ended_) {
          break;
        }
        wake_.expires_at(TimePoint::max());
        boost::system::error_code ignored;
        wake_.async_wait(yield[ignored]);
        continue;
      }
      Piece piece = std::move(queue_.front());
      queue_.pop_front();
      const TimePoint now = Clock::now();
      if (piece.at > now) {
        SleepFor(proxy_.kernel().io(), piece.at - now, yield);
      }
      while ((proxy_.Rule(from_, to_).cut || proxy_.Rule(from_, to_).hold) &&
             sink_.is_open()) {
        SleepFor(proxy_.kernel().io(), kPoll, yield);
      }
      if (!Disturb(&piece.bytes, yield)) {
        return;
      }
      if (!Deliver(piece.bytes, yield)) {
        return;
      }
    }
    boost::system::error_code ignored;
    sink_.shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Crosses a piece if that is wanted. Returns false when the line is broken.
  bool Disturb(std::string* bytes, const Yield& yield) {
    const FaultRule& rule = proxy_.Rule(from_, to_);
    if (!rule.cross || (rule.cross_bodies_only && !answers_)) {
      return true;
    }
    if (rule.cross_bodies_only) {
      const size_t body = BodyBegin(*bytes);
      if (body > 0 && !Deliver(bytes->substr(0, body), yield)) {
        return false;
      }
      bytes->erase(0, body);
    }
    if (!bytes->empty()) {
      Cross(proxy_, bytes, yield);
    }
    return true;
  }

  bool Deliver(std::string bytes, const Yield& yield) {
    const FaultRule& rule = proxy_.Rule(from_, to_);
    const uint64_t limit = answers_ && rule.reset_answers_after > 0
                               ? rule.reset_answers_after
                               : rule.reset_after;
    const bool resets = limit > 0 && delivered_ + bytes.size() >= limit;
    if (resets) {
      bytes.resize(limit > delivered_ ? limit - delivered_ : 0);
    }
    boost::system::error_code ec;
    boost::asio::async_write(sink_, boost::asio::buffer(bytes), yield[ec]);
    delivered_ += bytes.size();
    if (ec || resets) {
      if (resets) {
        // Lets what was sent arrive before the reset.
        SleepFor(proxy_.kernel().io(), kPoll, yield);
      }
      connection_->Reset();
      return false;
    }
    return true;
  }

  FaultProxy& proxy_;
  ConnectionPtr connection_;
  tcp::socket& source_;
  tcp::socket& sink_;
  int from_;
  int to_;
  // Carries what the side that was connected to sends.
  bool answers_;
  std::deque<Piece> queue_;
  // Ends the writer's wait for a piece.
  Timer wake_;
  uint64_t delivered_ = 0;
  bool ended_ = false;
};

}  // namespace

int RegionOf(const boost::asio::ip::address& address) {
  if (!address.is_v4()) {
    return 0;
  }
  const boost::asio::ip::address_v4::bytes_type bytes =
      address.to_v4().to_bytes();
  return bytes[0] == 127 && bytes[1] == 0 ? bytes[2] : 0;
}

TcpLink::TcpLink(FaultProxy& proxy,
                 const tcp::endpoint& listen,
                 tcp::endpoint to)
    : proxy_(proxy),
      acceptor_(proxy.kernel().io()),
      listen_(listen),
      to_(std::move(to)) {
  Open();
}

void TcpLink::SetUp(bool up) {
  if (up && !acceptor_.is_open()) {
    Open();
  } else if (!up) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    for (const std::weak_ptr<LinkConnection>& weak : connections_) {
      const ConnectionPtr connection = weak.lock();
      if (connection) {
        connection->Reset();
      }
    }
    connections_.clear();
  }
}

void TcpLink::Open() {
  acceptor_.open(listen_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen_);
  acceptor_.listen();
  listen_ = acceptor_.local_endpoint();
  Accept();
}

void TcpLink::Accept() {
  const ConnectionPtr connection =
      std::make_shared<LinkConnection>(proxy_.kernel().io());
  acceptor_.async_accept(
      connection->near,
      [this, connection](const boost::system::error_code& ec) {
        if (ec) {
          return;
        }
        std::erase_if(connections_,
                      [](const std::weak_ptr<LinkConnection>& weak) {
                        return weak.expired();
                      });
        connections_.push_back(connection);
        Spawn(proxy_.kernel().io(), [this, connection](const Yield& yield) {
          boost::system::error_code remote_ec;
          const int from =
              RegionOf(connection->near.remote_endpoint(remote_ec).address());
          const int to = RegionOf(to_.address());
          // The handshake takes a round trip and fails while cut.
          SleepFor(proxy_.kernel().io(), 2 * proxy_.Rule(from, to).delay,
                   yield);
          while (proxy_.Rule(from, to).cut) {
            SleepFor(proxy_.kernel().io(), kPoll, yield);
          }
          boost::system::error_code connect_ec;
          connection->far.async_connect(to_, yield[connect_ec]);
          if (connect_ec) {
            connection->Reset();
            return;
          }
          boost::system::error_code ignored;
          connection->near.set_option(tcp::no_delay(true), ignored);
          connection->far.set_option(tcp::no_delay(true), ignored);
          std::make_shared<Pump>(proxy_, connection, connection->near,
                                 connection->far, from, to, /*answers=*/false)
              ->Start();
          std::make_shared<Pump>(proxy_, connection, connection->far,
                                 connection->near, to, from, /*answers=*/true)
              ->Start();
        });
        Accept();
      });
}

UdpLink::UdpLink(FaultProxy& proxy,
                 const udp::endpoint& listen,
                 udp::endpoint to)
    : proxy_(proxy), socket_(proxy.kernel().io(), listen), to_(std::move(to)) {
  socket_.non_blocking(true);
  Receive();
}

void UdpLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), from_,
      [this](const boost::system::error_code& ec, size_t size) {
        if (!socket_.is_open()) {
          return;
        }
        if (!ec) {
          Forward(std::string(buffer_.data(), size), RegionOf(from_.address()));
        }
        Receive();
      });
}

void UdpLink::Forward(const std::string& bytes, int from) {
  const int to = RegionOf(to_.address());
  const FaultRule& rule = proxy_.Rule(from, to);
  if (rule.cut || proxy_.Draw(rule.loss)) {
    return;
  }
  TimePoint at = Clock::now() + rule.delay;
  if (proxy_.Draw(rule.reorder)) {
    at += rule.reorder_delay;
  }
  SendLater(bytes, at);
  if (proxy_.Draw(rule.duplicate)) {
    SendLater(bytes, at + rule.reorder_delay);
  }
}

void UdpLink::SendLater(const std::string& bytes, TimePoint at) {
  const std::shared_ptr<Timer> timer =
      std::make_shared<Timer>(proxy_.kernel().io(), at);
  timer->async_wait([this, timer, bytes](const boost::system::error_code& ec) {
    if (!ec) {
      boost::system::error_code ignored;
      socket_.send_to(boost::asio::buffer(bytes), to_, 0, ignored);
    }
  });
}

}  // namespace redwing::testing
