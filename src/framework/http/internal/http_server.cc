#include "framework/http/http_server.h"

#include <algorithm>
#include <boost/coroutine/attributes.hpp>
#include <vector>

#include "framework/http/internal/http_session.h"
#include "framework/kernel/bind.h"
#include "framework/kernel/spawn.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"

namespace redwing {

namespace {
using boost::asio::ip::tcp;
}  // namespace

HttpServer::HttpServer(boost::asio::io_context& io,
                       SocketRegistry& sockets,
                       Metrics& metrics,
                       HttpHandler& handler,
                       HttpServerLimits limits)
    : io_(io),
      sockets_(sockets),
      metrics_(metrics),
      handler_(handler),
      limits_(limits),
      acceptor_(io, [this](tcp::socket socket) { Serve(std::move(socket)); }) {}

HttpServer::~HttpServer() = default;

void HttpServer::Listen(const tcp::endpoint& endpoint) {
  tcp::acceptor& socket = acceptor_.socket();
  socket.open(endpoint.protocol());
  socket.set_option(tcp::acceptor::reuse_address(true));
  const boost::system::error_code ec = Bind(socket, endpoint, kBindLimit);
  if (ec) {
    throw boost::system::system_error(ec, FormatEndpoint(endpoint));
  }
  socket.listen();
  acceptor_.Start();
}

tcp::endpoint HttpServer::local_endpoint() const {
  return acceptor_.socket().local_endpoint();
}

void HttpServer::BeginDrain() {
  draining_ = true;
  boost::system::error_code ignored;
  acceptor_.socket().close(ignored);
  const std::vector<HttpSession*> sessions(sessions_.begin(), sessions_.end());
  for (HttpSession* const session : sessions) {
    session->CloseIfIdle();
  }
}

size_t HttpServer::busy_count() const {
  return static_cast<size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const HttpSession* s) { return s->busy(); }));
}

void HttpServer::Serve(tcp::socket socket) {
  metrics_
      .Get("redwing_http_accepted_total",
           "Connections accepted, in connections")
      .Add();
  if (sessions_.size() >= limits_.connections) {
    return;
  }
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const std::shared_ptr<HttpSession> session =
      std::make_shared<HttpSession>(*this, std::move(socket));
  Spawn(io_, [session](const Yield& yield) { session->Run(yield); });
}

void HttpServer::Remove(HttpSession* session) {
  sessions_.erase(session);
}

}  // namespace redwing
