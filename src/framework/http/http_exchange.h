#ifndef REDWING_FRAMEWORK_HTTP_HTTP_EXCHANGE_H_
#define REDWING_FRAMEWORK_HTTP_HTTP_EXCHANGE_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/clock.h"

namespace redwing {

class TimedSocket;
struct HttpServerLimits;

// One request and its response on a server connection. Bodies are streamed;
// at most one buffer of each direction is held.
class HttpExchange {
 public:
  using Parser = http::request_parser<http::buffer_body>;

  // Received bytes of a body that a connection holds. Beast reads as much as
  // the buffer has room for.
  static constexpr size_t kBodyBuffer = 16 * 1024;  // bytes

  HttpExchange(TimedSocket& socket,
               boost::beast::flat_buffer& buffer,
               Parser& parser,
               const HttpServerLimits& limits,
               size_t head_bytes);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  const RequestHeader& request() const { return parser_.get(); }
  std::string_view target() const { return StdView(request().target()); }
  std::string_view method() const { return StdView(request().method_string()); }
  std::string_view Header(std::string_view name) const;
  // Size of the request line and all fields as received.
  size_t head_bytes() const { return head_bytes_; }
  bool has_body() const { return !parser_.is_done(); }
  std::optional<uint64_t> content_length() const;

  // Reads the next part of the request body; 0 means the end. Sends
  // "100 Continue" first if the caller waits for it.
  Result<size_t> ReadBody(char* data, size_t size, const Yield& yield);
  // Reads the whole body, refusing more than `limit` bytes.
  Result<std::string> ReadWholeBody(size_t limit, const Yield& yield);

  // Sends a complete response.
  void Respond(ResponseHeader header,
               std::string_view body,
               const Yield& yield);
  void Respond(unsigned status,
               std::string_view content_type,
               std::string_view body,
               const Yield& yield);

  // Begins a streamed response. The header is sent with the first WriteBody().
  // Without a Content-Length the body goes out chunked.
  void BeginResponse(ResponseHeader header);
  // Writes a part of the body; `last` ends the response. Returns false when
  // the connection is broken.
  bool WriteBody(const char* data, size_t size, bool last, const Yield& yield);

  // Address of the peer of the connection; empty if it is gone.
  std::string peer_ip() const;

  // Breaks the connection off, so that the caller sees the answer is not whole.
  void Break();

  // Asks for the connection to be closed after this response.
  void CloseAfterwards() { keep_alive_ = false; }

  // Sets a field of whatever response is sent.
  void SetResponseField(std::string_view name, std::string_view value);

  // Calls `on_gone` when the caller closes its connection before the response
  // has begun.
  void WatchCaller(std::function<void()> on_gone);
  // Asks whether the caller has closed its connection by now: while the event
  // loop is behind, the watch tells of it late.
  bool CallerHasLeft();
  // Ends the watch; called by the exchange itself before it writes.
  void EndWatch();

  bool fractional_retry_after() const { return fractional_retry_after_; }
  bool response_begun() const { return response_begun_; }
  bool response_complete() const { return response_complete_; }
  bool broken() const { return broken_; }
  bool keep_alive() const { return keep_alive_; }

 private:
  struct Watch;
  using Response = http::response<http::buffer_body>;
  using Serializer = http::response_serializer<http::buffer_body>;

  bool SendContinue(const Yield& yield);
  bool Write(const Yield& yield);

  TimedSocket& socket_;
  boost::beast::flat_buffer& buffer_;
  Parser& parser_;
  size_t head_bytes_;
  Milliseconds io_timeout_;
  bool fractional_retry_after_;
  std::optional<Response> response_;
  std::optional<Serializer> serializer_;
  std::shared_ptr<Watch> watch_;
  http::fields response_fields_;
  bool continue_sent_ = false;
  bool response_begun_ = false;
  bool response_complete_ = false;
  // Whether only the end of the connection ends the response's body.
  bool ends_with_connection_ = false;
  bool broken_ = false;
  bool keep_alive_ = true;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_HTTP_EXCHANGE_H_
