#ifndef REDWING_FRAMEWORK_HTTP_CONNECTION_POOL_H_
#define REDWING_FRAMEWORK_HTTP_CONNECTION_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_connection.h"
#include "framework/http/link_timeouts.h"
#include "framework/kernel/clock.h"

namespace redwing {

class Metrics;

// Idle client connections, by endpoint. Only a connection whose last
// exchange ended cleanly comes back, so that no late answer can reach another
// request.
class ConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  ConnectionPool(boost::asio::io_context& io,
                 SocketRegistry& sockets,
                 Metrics& metrics,
                 size_t idle_per_endpoint);

  // Returns an idle connection or opens one. `response_id`: the id by which the
  // response will be matched to the request; the connection has carried no
  // other request with it. Empty if responses are not matched by the request's
  // id. Failures are kNotRun.
  Result<ConnectionPtr> Acquire(const boost::asio::ip::tcp::endpoint& endpoint,
                                std::string_view response_id,
                                TimePoint deadline,
                                const LinkTimeouts& timeouts,
                                const Yield& yield);
  // Takes a connection back, closing it unless it is reusable.
  void Release(const boost::asio::ip::tcp::endpoint& endpoint,
               ConnectionPtr connection);
  // Closes connections that were idle for long.
  void CloseIdle(TimePoint now);

 private:
  struct Idle {
    ConnectionPtr connection;
    TimePoint since;
  };

  // Takes the connection out that was used last and has not carried the id;
  // closes those before it that are not reusable. Null if there is none.
  ConnectionPtr TakeIdle(const boost::asio::ip::tcp::endpoint& endpoint,
                         std::string_view response_id);

  boost::asio::io_context& io_;
  SocketRegistry& sockets_;
  Metrics& metrics_;
  size_t idle_per_endpoint_;
  std::map<boost::asio::ip::tcp::endpoint, std::vector<Idle>> idle_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_CONNECTION_POOL_H_
