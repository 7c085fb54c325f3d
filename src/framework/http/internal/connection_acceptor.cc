#include "framework/http/connection_acceptor.h"

#include <memory>

#include "framework/kernel/guard.h"
#include "framework/kernel/timer.h"

namespace redwing {

namespace {
using boost::asio::ip::tcp;

constexpr Milliseconds kAcceptRetry{50};
constexpr int kAcceptsAtOnce = 64;
}  // namespace

ConnectionAcceptor::ConnectionAcceptor(boost::asio::io_context& io,
                                       Handler on_connection)
    : io_(io), socket_(io), on_connection_(std::move(on_connection)) {}

void ConnectionAcceptor::Start() {
  socket_.non_blocking(true);
  Wait();
}

void ConnectionAcceptor::Wait() {
  socket_.async_wait(tcp::acceptor::wait_read,
                     [this](const boost::system::error_code& /*ec*/) {
                       if (!socket_.is_open()) {
                         return;
                       }
                       if (AcceptWaiting()) {
                         Wait();
                       } else {
                         WaitLater();
                       }
                     });
}

bool ConnectionAcceptor::AcceptWaiting() {
  boost::system::error_code ec;
  for (int i = 0; i < kAcceptsAtOnce; ++i) {
    tcp::socket accepted(io_);
    socket_.accept(accepted, ec);
    if (ec) {
      break;
    }
    RunGuarded("accept", [&]() { on_connection_(std::move(accepted)); });
  }
  // Who opened a connection may be gone before it is accepted.
  return !ec || ec == boost::asio::error::would_block ||
         ec == boost::asio::error::connection_aborted;
}

void ConnectionAcceptor::WaitLater() {
  const std::shared_ptr<Timer> timer = std::make_shared<Timer>(io_);
  timer->expires_after(kAcceptRetry);
  timer->async_wait([this, timer](const boost::system::error_code& ec) {
    if (!ec && socket_.is_open()) {
      Wait();
    }
  });
}

}  // namespace redwing
