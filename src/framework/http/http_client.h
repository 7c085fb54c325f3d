#ifndef REDWING_FRAMEWORK_HTTP_HTTP_CLIENT_H_
#define REDWING_FRAMEWORK_HTTP_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <map>
#include <string>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

class SocketRegistry;

// A complete request of the control plane.
struct HttpCall {
  boost::asio::ip::tcp::endpoint endpoint;
  http::verb method = http::verb::get;
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;
  Milliseconds timeout{2000};
};

// A complete response.
struct HttpReply {
  unsigned status = 0;
  ResponseHeader header;
  std::string body;
};

// Makes single calls on a connection each, for small messages of the control
// plane. A failure to connect is kNotRun, a later one kMayHaveRun.
class HttpClient {
 public:
  static constexpr size_t kMaxBody = 8 * 1024 * 1024;  // bytes

  HttpClient(boost::asio::io_context& io, SocketRegistry& sockets)
      : io_(io), sockets_(sockets) {}

  Result<HttpReply> Call(const HttpCall& call, const Yield& yield);

 private:
  boost::asio::io_context& io_;
  SocketRegistry& sockets_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_HTTP_CLIENT_H_
