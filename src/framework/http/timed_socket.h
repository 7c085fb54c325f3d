#ifndef REDWING_FRAMEWORK_HTTP_TIMED_SOCKET_H_
#define REDWING_FRAMEWORK_HTTP_TIMED_SOCKET_H_

#include <boost/asio/ip/tcp.hpp>

#include "framework/kernel/clock.h"

namespace redwing {

class SocketRegistry;

// A TCP socket that is closed when its deadline passes, which ends every
// operation on it with an error.
class TimedSocket {
 public:
  TimedSocket(SocketRegistry& sockets, boost::asio::ip::tcp::socket socket);
  ~TimedSocket();
  TimedSocket(const TimedSocket&) = delete;
  TimedSocket& operator=(const TimedSocket&) = delete;

  boost::asio::ip::tcp::socket& socket() { return socket_; }

  void ExpiresAt(TimePoint deadline) { deadline_ = deadline; }
  void ExpiresAfter(Milliseconds delay) { deadline_ = Clock::now() + delay; }
  void ExpiresNever() { deadline_ = TimePoint::max(); }
  bool timed_out() const { return timed_out_; }

  void Close();
  // Makes each close of the socket, also by the end of the process, a reset:
  // the peer cannot take it for an orderly end.
  void ResetOnClose(bool reset);

  // Returns whether the peer still holds its side open and has sent nothing.
  bool IsQuiet();
  // Returns whether the peer has closed its side and nothing is left to read.
  bool PeerHasClosed();

 private:
  friend class SocketRegistry;

  SocketRegistry& sockets_;
  boost::asio::ip::tcp::socket socket_;
  TimePoint deadline_ = TimePoint::max();
  size_t sweep_index_ = 0;
  bool timed_out_ = false;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_TIMED_SOCKET_H_
