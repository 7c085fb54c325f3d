#include "framework/http/http_server.h"

#include <algorithm>
#include <boost/coroutine/attributes.hpp>
#include <vector>

#include "framework/http/internal/http_session.h"
#include "framework/kernel/spawn.h"
#include "framework/kernel/timer.h"
#include "framework/metrics/metrics.h"

namespace redwing {

namespace {
using boost::asio::ip::tcp;

constexpr Milliseconds kAcceptRetry{50};
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
      acceptor_(io) {}

HttpServer::~HttpServer() = default;

void HttpServer::Listen(const tcp::endpoint& endpoint) {
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
  Accept();
}

tcp::endpoint HttpServer::local_endpoint() const {
  return acceptor_.local_endpoint();
}

void HttpServer::BeginDrain() {
  draining_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
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

void HttpServer::Accept() {
  acceptor_.async_accept(
      [this](const boost::system::error_code& ec, tcp::socket socket) {
        if (!acceptor_.is_open()) {
          return;
        }
        if (ec) {
          // Out of descriptors, most likely: give running work time to end.
          const std::shared_ptr<Timer> timer = std::make_shared<Timer>(io_);
          timer->expires_after(kAcceptRetry);
          timer->async_wait(
              [this, timer](const boost::system::error_code& timer_ec) {
                if (!timer_ec && acceptor_.is_open()) {
                  Accept();
                }
              });
          return;
        }
        metrics_
            .Get("redwing_http_accepted_total",
                 "Connections accepted, in connections")
            .Add();
        if (sessions_.size() < limits_.connections) {
          boost::system::error_code ignored;
          socket.set_option(tcp::no_delay(true), ignored);
          const std::shared_ptr<HttpSession> session =
              std::make_shared<HttpSession>(*this, std::move(socket));
          Spawn(io_, [session](const Yield& yield) { session->Run(yield); });
        }
        Accept();
      });
}

void HttpServer::Remove(HttpSession* session) {
  sessions_.erase(session);
}

}  // namespace redwing
