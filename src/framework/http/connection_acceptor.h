#ifndef REDWING_FRAMEWORK_HTTP_CONNECTION_ACCEPTOR_H_
#define REDWING_FRAMEWORK_HTTP_CONNECTION_ACCEPTOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

namespace redwing {

// Accepts TCP connections for as long as its socket is open: all that wait, up
// to a number, in one turn of the event loop. With one a turn, a busy loop
// would leave connections in the backlog, where nothing measures how long they
// wait.
class ConnectionAcceptor {
 public:
  using Handler = std::function<void(boost::asio::ip::tcp::socket)>;

  ConnectionAcceptor(boost::asio::io_context& io, Handler on_connection);

  // The listening socket, which its owner opens, binds and closes.
  boost::asio::ip::tcp::acceptor& socket() { return socket_; }
  const boost::asio::ip::tcp::acceptor& socket() const { return socket_; }
  // Begins to accept. The socket must listen.
  void Start();

 private:
  void Wait();
  // Returns false when the system has no room for more; what waits stays in
  // the backlog then.
  bool AcceptWaiting();
  // Out of descriptors, most likely: gives running work time to end.
  void WaitLater();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor socket_;
  Handler on_connection_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_CONNECTION_ACCEPTOR_H_
