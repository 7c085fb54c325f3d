#ifndef REDWING_FRAMEWORK_HTTP_INTERNAL_HTTP_SESSION_H_
#define REDWING_FRAMEWORK_HTTP_INTERNAL_HTTP_SESSION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>

#include "framework/errors/result.h"
#include "framework/http/http_exchange.h"
#include "framework/http/timed_socket.h"

namespace redwing {

class HttpServer;

// One server connection: reads requests one after another and answers them in
// order.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  HttpSession(HttpServer& server, boost::asio::ip::tcp::socket socket);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Run(const Yield& yield);
  void CloseIfIdle();
  bool busy() const { return busy_; }

 private:
  // Reads a request head into the buffer; returns its size, 0 at the end of
  // the connection.
  Result<size_t> ReadHead(const Yield& yield);
  bool ServeOne(const Yield& yield);
  // Bounds the buffer by the limits in force: a whole request header, or one
  // piece of a body.
  void LimitBuffer();
  void Refuse(const Failure& failure, const Yield& yield);
  // Lets the caller read the response before the connection is reset by
  // unread request bytes.
  void LingeringClose(const Yield& yield);

  HttpServer& server_;
  TimedSocket socket_;
  boost::beast::flat_buffer buffer_;
  bool busy_ = false;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_INTERNAL_HTTP_SESSION_H_
