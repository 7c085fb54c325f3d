#ifndef REDWING_FRAMEWORK_HTTP_SOCKET_REGISTRY_H_
#define REDWING_FRAMEWORK_HTTP_SOCKET_REGISTRY_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>
#include <vector>

#include "framework/kernel/periodic_task.h"

namespace redwing {

class TimedSocket;

// The TCP sockets of a process. Closes those whose deadline has passed: one
// sweep over all sockets every kInterval replaces a timer per operation, so
// deadlines are exact to kInterval. Binds outgoing connections to the
// process's source address.
class SocketRegistry {
 public:
  static constexpr std::string_view kServiceName = "socket_registry";
  static constexpr Milliseconds kInterval{20};

  explicit SocketRegistry(boost::asio::io_context& io);

  // Sets the address from which connections are opened; by default the system
  // chooses.
  void SetSourceAddress(const boost::asio::ip::address& address) {
    source_address_ = address;
  }
  // Opens a socket for a connection to an endpoint, bound to the source
  // address.
  void OpenFor(const boost::asio::ip::tcp::endpoint& to,
               boost::asio::ip::tcp::socket& socket) const;

 private:
  friend class TimedSocket;

  void Add(TimedSocket* socket);
  void Remove(TimedSocket* socket);
  void Sweep();

  std::vector<TimedSocket*> sockets_;
  boost::asio::ip::address source_address_;
  PeriodicTask task_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_SOCKET_REGISTRY_H_
