#ifndef REDWING_FRAMEWORK_HTTP_HTTP_SERVER_H_
#define REDWING_FRAMEWORK_HTTP_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <unordered_set>

#include "framework/http/connection_acceptor.h"
#include "framework/http/http_handler.h"
#include "framework/kernel/clock.h"

namespace redwing {

class HttpSession;
class Metrics;
class SocketRegistry;

// Bounds of one server.
struct HttpServerLimits {
  size_t header_bytes = 16 * 1024;
  uint64_t body_bytes = 64ULL * 1024 * 1024;
  size_t connections = 4096;
  Milliseconds idle_timeout{60'000};
  Milliseconds header_timeout{10'000};
  // Longest pause within a body, in either direction.
  Milliseconds io_timeout{10'000};
  // Retry-After may name fractions of a second.
  bool fractional_retry_after = false;
};

// Accepts HTTP/1.1 connections and hands their requests to a handler, one
// coroutine a connection.
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io,
             SocketRegistry& sockets,
             Metrics& metrics,
             HttpHandler& handler,
             HttpServerLimits limits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds and begins to accept. Waits up to kBindLimit for an address that is
  // in use. Throws boost::system::system_error when the address cannot be
  // bound.
  void Listen(const boost::asio::ip::tcp::endpoint& endpoint);
  boost::asio::ip::tcp::endpoint local_endpoint() const;

  // From now on each answer closes its connection.
  void GiveNotice() { closing_ = true; }
  // Replaces the bounds; connections that are open follow with their next
  // request.
  void SetLimits(const HttpServerLimits& limits) { limits_ = limits; }
  const HttpServerLimits& limits() const { return limits_; }

  // Ends accepting; idle connections close, busy ones after their response.
  void BeginDrain();
  bool draining() const { return draining_; }

  size_t connection_count() const { return sessions_.size(); }
  // Number of connections with a request in work.
  size_t busy_count() const;

 private:
  friend class HttpSession;

  // Serves a connection that has been accepted.
  void Serve(boost::asio::ip::tcp::socket socket);
  void Remove(HttpSession* session);

  boost::asio::io_context& io_;
  SocketRegistry& sockets_;
  Metrics& metrics_;
  HttpHandler& handler_;
  HttpServerLimits limits_;
  ConnectionAcceptor acceptor_;
  std::unordered_set<HttpSession*> sessions_;
  bool closing_ = false;
  bool draining_ = false;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_HTTP_SERVER_H_
