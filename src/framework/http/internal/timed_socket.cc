#include "framework/http/timed_socket.h"

#include <sys/socket.h>

#include <cerrno>

#include "framework/http/socket_registry.h"

namespace redwing {

TimedSocket::TimedSocket(SocketRegistry& sockets,
                         boost::asio::ip::tcp::socket socket)
    : sockets_(sockets), socket_(std::move(socket)) {
  sockets_.Add(this);
}

TimedSocket::~TimedSocket() {
  sockets_.Remove(this);
}

void TimedSocket::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
}

void TimedSocket::ResetOnClose(bool reset) {
  boost::system::error_code ignored;
  socket_.set_option(boost::asio::socket_base::linger(reset, 0), ignored);
}

bool TimedSocket::PeerHasClosed() {
  char byte = 0;
  const ssize_t size =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A reset is reported once: later reads would see an orderly end.
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

bool TimedSocket::IsQuiet() {
  char byte = 0;
  const ssize_t size =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace redwing
