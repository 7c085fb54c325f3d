#include "testing/fuzz/socket_fuzz.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>

#include "framework/http/http_connection.h"
#include "framework/http/http_exchange.h"
#include "framework/http/http_handler.h"
#include "framework/kernel/spawn.h"
#include "framework/settings/endpoint.h"

namespace redwing::testing {

namespace {

using boost::asio::ip::tcp;

constexpr size_t kMaxPiece = 64;          // bytes
constexpr size_t kMaxBody = 4096;         // bytes
constexpr size_t kReadSize = 4096;        // bytes
constexpr Milliseconds kDeadline{5'000};  // no exchange waits for it

// Reads every body and answers.
class ReadingHandler : public HttpHandler {
 public:
  explicit ReadingHandler(int& requests) : requests_(requests) {}

  void Handle(HttpExchange& exchange, const Yield& yield) override {
    ++requests_;
    const bool whole = exchange.ReadWholeBody(kMaxBody, yield).has_value();
    if (!exchange.broken()) {
      exchange.Respond(whole ? 200 : 400, "text/plain", "ok", yield);
    }
  }

 private:
  int& requests_;
};

// Returns whether no caller may get the response.
bool IsMalformed(const ResponseHeader& header) {
  const std::string_view coding =
      StdView(header[http::field::transfer_encoding]);
  return header.result_int() < 200 || header.result_int() > 599 ||
         (!coding.empty() &&
          !boost::beast::iequals(BeastView(coding), "chunked"));
}

// Reads until the other side has closed.
void ReadToEnd(tcp::socket& socket, const Yield& yield) {
  std::array<char, kReadSize> ignored{};
  boost::system::error_code ec;
  while (!ec) {
    socket.async_read_some(boost::asio::buffer(ignored), yield[ec]);
  }
}

}  // namespace

SocketFuzz::SocketFuzz(uint64_t seed)
    : random_(seed),
      sockets_(io_),
      handler_(std::make_unique<ReadingHandler>(requests_)),
      server_(io_, sockets_, metrics_, *handler_, HttpServerLimits()),
      acceptor_(io_, TcpEndpoint("127.0.0.1:0")) {
  server_.Listen(TcpEndpoint("127.0.0.1:0"));
}

SocketFuzz::~SocketFuzz() = default;

void SocketFuzz::SendAsRequests(const std::string& bytes) {
  int running = 1;
  Spawn(io_, [&](const Yield& yield) {
    tcp::socket socket(io_);
    boost::system::error_code ec;
    socket.async_connect(server_.local_endpoint(), yield[ec]);
    if (!ec) {
      WritePieces(socket, bytes, yield);
      ReadToEnd(socket, yield);
    }
    --running;
  });
  RunUntil(running);
}

void SocketFuzz::SendAsResponse(const std::string& bytes) {
  int running = 2;
  Spawn(io_, [&](const Yield& yield) {
    tcp::socket socket(io_);
    boost::system::error_code ec;
    acceptor_.async_accept(socket, yield[ec]);
    if (!ec) {
      // Closing with the request unread would reset the connection.
      std::array<char, kReadSize> request{};
      socket.async_read_some(boost::asio::buffer(request), yield[ec]);
      WritePieces(socket, bytes, yield);
      ReadToEnd(socket, yield);
    }
    --running;
  });
  Spawn(io_, [&](const Yield& yield) {
    HttpConnection connection(io_, sockets_);
    RequestHeader header;
    header.version(11);
    header.method(http::verb::get);
    header.target("/");
    if (!connection.Connect(acceptor_.local_endpoint(),
                            Clock::now() + kDeadline, yield)) {
      acceptor_.cancel();
    } else if (connection.BeginRequest(std::move(header), nullptr, 0, true,
                                       yield) &&
               connection.ReadHeader(yield)) {
      ++responses_;
      malformed_responses_ += IsMalformed(connection.response()) ? 1 : 0;
      std::string piece(kReadSize, '\0');
      Result<size_t> size = piece.size();
      while (size && size.value() > 0) {
        size = connection.ReadBody(piece.data(), piece.size(), yield);
      }
      connection.reusable();
    }
    --running;
  });
  RunUntil(running);
}

void SocketFuzz::WritePieces(tcp::socket& socket,
                             const std::string& bytes,
                             const Yield& yield) {
  boost::system::error_code ec;
  for (size_t at = 0; at < bytes.size() && !ec;) {
    const size_t size = std::min(bytes.size() - at, 1 + random_() % kMaxPiece);
    boost::asio::async_write(
        socket, boost::asio::buffer(bytes.data() + at, size), yield[ec]);
    at += size;
  }
  if (random_() % 2 == 0) {
    socket.shutdown(tcp::socket::shutdown_send, ec);
  } else {
    socket.close(ec);
  }
}

void SocketFuzz::RunUntil(const int& running) {
  while (running > 0) {
    io_.run_one();
  }
}

}  // namespace redwing::testing
