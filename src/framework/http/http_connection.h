#ifndef REDWING_FRAMEWORK_HTTP_HTTP_CONNECTION_H_
#define REDWING_FRAMEWORK_HTTP_HTTP_CONNECTION_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

#include "framework/errors/result.h"
#include "framework/http/carried_ids.h"
#include "framework/http/http_types.h"
#include "framework/http/timed_socket.h"

namespace redwing {

// A client connection that carries one exchange at a time. Its deadline bounds
// every operation. After an exchange that did not end cleanly it must not be
// reused: reusable() is false.
class HttpConnection {
 public:
  // Upper bound of the received bytes that one connection holds: a whole
  // response header, and one piece of a body. Parts of a message that are not
  // handed out, such as chunk extensions and trailers, fail beyond it.
  static constexpr size_t kMaxBuffered = 80 * 1024;  // bytes

  HttpConnection(boost::asio::io_context& io, SocketRegistry& sockets);

  // Connects. Failures are kNotRun.
  Result<void> Connect(const boost::asio::ip::tcp::endpoint& endpoint,
                       TimePoint deadline,
                       const Yield& yield);

  // Ends the connection with an error when the peer does not acknowledge data
  // or a keep-alive probe for this long; 0 leaves it to the system.
  void SetAcknowledgementTimeout(Milliseconds timeout);

  // Number of the connection in this process, for logs.
  uint64_t id() const { return id_; }
  // Number of exchanges that were begun.
  int exchanges() const { return exchanges_; }

  // Time that opening the connection took; nothing after its first exchange.
  std::optional<Milliseconds> fresh_connect_time() const {
    return exchanges_ <= 1 ? connect_time_ : std::nullopt;
  }

  void ExpiresAt(TimePoint deadline) { socket_.ExpiresAt(deadline); }

  // Begins an exchange: sends the header with the first part of the body.
  // Failures are kMayHaveRun, since bytes may have arrived.
  Result<void> BeginRequest(RequestHeader header,
                            const char* data,
                            size_t size,
                            bool last,
                            const Yield& yield);
  Result<void> WriteBody(const char* data,
                         size_t size,
                         bool last,
                         const Yield& yield);

  // Reads the response's header; interim responses are skipped. What no proxy
  // may take for a response fails, as FindResponseProblem() says.
  Result<void> ReadHeader(const Yield& yield);
  // Prepares for reading another response, once the last one was read whole.
  void ExpectResponse();
  // Returns whether a HEAD request was sent: whether its response has a body
  // cannot be told from the response.
  bool carried_head() const { return carried_head_; }
  const ResponseHeader& response() const { return parser_->get(); }
  std::optional<uint64_t> content_length() const;
  // Returns whether only the end of the connection would end the body, so that
  // a cut could not be told from the end.
  bool undelimited() const { return parser_->need_eof(); }
  // Returns whether writing the request has failed. The end of an undelimited
  // response is not proved any more.
  bool write_failed() const { return write_failed_; }
  bool body_done() const { return parser_->is_done() && !EndedByFailure(); }
  // Reads the next part of the body; 0 means its end.
  Result<size_t> ReadBody(char* data, size_t size, const Yield& yield);

  // The ids of the requests that were carried, where responses are matched by
  // them.
  CarriedIds& carried_ids() { return carried_ids_; }

  // Returns whether the last exchange ended cleanly, the peer keeps the
  // connection open, and it may carry a further id.
  bool reusable();

  // Ends every running operation with an error.
  void Abort() { socket_.Close(); }
  bool timed_out() const { return socket_.timed_out(); }
  // Returns whether bytes arrived that are no response.
  bool malformed() const { return malformed_; }

 private:
  Failure Broken(const boost::system::error_code& ec);
  Failure Malformed(std::string_view reason);
  // Returns whether the end of the connection has ended the body though an
  // operation had failed before: the system reports a reset once, and an
  // orderly end afterwards.
  bool EndedByFailure() const;

  const uint64_t id_;
  SocketRegistry& sockets_;
  TimedSocket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request<http::buffer_body>> request_;
  std::optional<http::request_serializer<http::buffer_body>> serializer_;
  std::optional<http::response_parser<http::buffer_body>> parser_;
  std::optional<Milliseconds> connect_time_;
  CarriedIds carried_ids_;
  int exchanges_ = 0;
  bool request_sent_ = false;
  bool write_failed_ = false;
  bool malformed_ = false;
  bool head_request_ = false;
  bool carried_head_ = false;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_HTTP_CONNECTION_H_
