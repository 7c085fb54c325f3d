#include "framework/http/http_connection.h"

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <atomic>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>

#include "framework/http/header_check.h"
#include "framework/http/socket_registry.h"
#include "framework/log/log.h"

namespace redwing {

namespace {
using boost::asio::ip::tcp;
template <int kOption>
using TcpOption =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, kOption>;
using KeepAliveIdle = TcpOption<TCP_KEEPIDLE>;
using KeepAliveInterval = TcpOption<TCP_KEEPINTVL>;
using UserTimeout = TcpOption<TCP_USER_TIMEOUT>;
constexpr int kKeepAliveSeconds = 1;
constexpr uint32_t kResponseHeaderLimit = 64 * 1024;  // bytes
// Beast reads as much as the buffer has room for: 512 bytes unless told.
constexpr size_t kHeaderBuffer = 2 * 1024;  // bytes
constexpr size_t kBodyBuffer = 16 * 1024;   // bytes
constexpr unsigned kMinFinalStatus = 200;
constexpr int kMaxInterimResponses = 16;
static_assert(kResponseHeaderLimit + kBodyBuffer <=
              HttpConnection::kMaxBuffered);

uint64_t NextConnectionId() {
  static std::atomic<uint64_t> last = 0;
  return ++last;
}
}  // namespace

HttpConnection::HttpConnection(boost::asio::io_context& io,
                               SocketRegistry& sockets)
    : id_(NextConnectionId()),
      sockets_(sockets),
      socket_(sockets, boost::asio::ip::tcp::socket(io)),
      buffer_(kMaxBuffered) {
  buffer_.reserve(kHeaderBuffer);
}

Result<void> HttpConnection::Connect(
    const boost::asio::ip::tcp::endpoint& endpoint,
    TimePoint deadline,
    const Yield& yield) {
  socket_.ExpiresAt(deadline);
  const TimePoint begun = Clock::now();
  boost::system::error_code ec;
  sockets_.OpenFor(endpoint, socket_.socket());
  socket_.socket().async_connect(endpoint, yield[ec]);
  if (!ec) {
    socket_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ec);
  }
  if (ec) {
    return NotRun(Errc::kTargetUnreachable,
                  socket_.timed_out() ? "connecting timed out" : ec.message());
  }
  connect_time_ =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - begun);
  return boost::outcome_v2::success();
}

void HttpConnection::SetAcknowledgementTimeout(Milliseconds timeout) {
  if (timeout == Milliseconds(0)) {
    return;
  }
  boost::system::error_code ec;
  tcp::socket& socket = socket_.socket();
  socket.set_option(boost::asio::socket_base::keep_alive(true), ec);
  socket.set_option(KeepAliveIdle(kKeepAliveSeconds), ec);
  socket.set_option(KeepAliveInterval(kKeepAliveSeconds), ec);
  socket.set_option(UserTimeout(static_cast<int>(timeout.count())), ec);
  if (ec) {
    spdlog::debug("event=socket_option_refused reason={}",
                  Quoted(ec.message()));
  }
}

Result<void> HttpConnection::BeginRequest(RequestHeader header,
                                          const char* data,
                                          size_t size,
                                          bool last,
                                          const Yield& yield) {
  head_request_ = header.method() == http::verb::head;
  request_sent_ = false;
  ++exchanges_;
  carried_head_ = carried_head_ || head_request_;
  serializer_.reset();
  ExpectResponse();
  request_.emplace(std::move(header));
  serializer_.emplace(*request_);
  return WriteBody(data, size, last, yield);
}

Result<void> HttpConnection::WriteBody(const char* data,
                                       size_t size,
                                       bool last,
                                       const Yield& yield) {
  request_->body().data = size == 0 ? nullptr : const_cast<char*>(data);
  request_->body().size = size;
  request_->body().more = !last;
  boost::system::error_code ec;
  http::async_write(socket_.socket(), *serializer_, yield[ec]);
  if (ec && ec != http::error::need_buffer) {
    write_failed_ = true;
    return Broken(ec);
  }
  request_sent_ = last;
  return boost::outcome_v2::success();
}

Result<void> HttpConnection::ReadHeader(const Yield& yield) {
  boost::system::error_code ec;
  for (int i = 0; i <= kMaxInterimResponses; ++i) {
    http::async_read_header(socket_.socket(), buffer_, *parser_, yield[ec]);
    if (ec) {
      return Broken(ec);
    }
    const std::optional<std::string> problem = FindResponseProblem(response());
    if (problem) {
      return Malformed(*problem);
    }
    if (response().result_int() >= kMinFinalStatus) {
      return boost::outcome_v2::success();
    }
    ExpectResponse();
  }
  return Malformed("too many interim responses");
}

void HttpConnection::ExpectResponse() {
  parser_.emplace();
  parser_->header_limit(kResponseHeaderLimit);
  parser_->body_limit(std::numeric_limits<uint64_t>::max());
  parser_->skip(head_request_);
}

std::optional<uint64_t> HttpConnection::content_length() const {
  const boost::optional<uint64_t> length = parser_->content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

Result<size_t> HttpConnection::ReadBody(char* data,
                                        size_t size,
                                        const Yield& yield) {
  if (body_done()) {
    return 0;
  }
  buffer_.reserve(kBodyBuffer);
  parser_->get().body().data = data;
  parser_->get().body().size = size;
  boost::system::error_code ec;
  while (!ec && !parser_->is_done() && parser_->get().body().size == size) {
    http::async_read_some(socket_.socket(), buffer_, *parser_, yield[ec]);
  }
  if (ec && ec != http::error::need_buffer) {
    return Broken(ec);
  }
  if (EndedByFailure()) {
    return MayHaveRun(Errc::kTargetBroken,
                      "the connection failed before the end of the response");
  }
  return size - parser_->get().body().size;
}

bool HttpConnection::reusable() {
  return socket_.socket().is_open() && request_sent_ && !malformed_ &&
         parser_ && body_done() && parser_->keep_alive() &&
         buffer_.size() == 0 && !carried_ids_.full() && socket_.IsQuiet();
}

Failure HttpConnection::Broken(const boost::system::error_code& ec) {
  if (socket_.timed_out()) {
    return MayHaveRun(Errc::kTargetTimeout, "no answer before the deadline");
  }
  const bool ended =
      ec == http::error::end_of_stream || ec == http::error::partial_message;
  if (ec.category() == make_error_code(http::error::bad_status).category() &&
      !ended) {
    return Malformed(ec.message());
  }
  return MayHaveRun(Errc::kTargetBroken, ec.message());
}

Failure HttpConnection::Malformed(std::string_view reason) {
  malformed_ = true;
  return MayHaveRun(Errc::kTargetBroken,
                    fmt::format("malformed response: {}", reason));
}

bool HttpConnection::EndedByFailure() const {
  return write_failed_ && parser_->is_done() && parser_->need_eof();
}

}  // namespace redwing
