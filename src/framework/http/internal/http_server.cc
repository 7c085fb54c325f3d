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
// Connections accepted in one turn of the event loop. With one a turn, busy
// turns would leave callers waiting in the backlog, unseen.
constexpr int kAcceptsAtOnce = 64;
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
  acceptor_.non_blocking(true);
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
  acceptor_.async_wait(tcp::acceptor::wait_read,
                       [this](const boost::system::error_code& /*ec*/) {
                         if (!acceptor_.is_open()) {
                           return;
                         }
                         if (AcceptWaiting()) {
                           Accept();
                         } else {
                           AcceptLater();
                         }
                       });
}

bool HttpServer::AcceptWaiting() {
  boost::system::error_code ec;
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, ec);
    if (ec) {
      break;
    }
    Serve(std::move(socket));
  }
  // The caller of a connection may be gone before it is accepted.
  return !ec || ec == boost::asio::error::would_block ||
         ec == boost::asio::error::connection_aborted;
}

void HttpServer::AcceptLater() {
  const std::shared_ptr<Timer> timer = std::make_shared<Timer>(io_);
  timer->expires_after(kAcceptRetry);
  timer->async_wait([this, timer](const boost::system::error_code& ec) {
    if (!ec && acceptor_.is_open()) {
      Accept();
    }
  });
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
