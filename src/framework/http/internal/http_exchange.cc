#include "framework/http/http_exchange.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "framework/http/http_server.h"
#include "framework/http/timed_socket.h"

namespace redwing {

namespace {
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr size_t kBodyPiece = 16 * 1024;  // bytes
}  // namespace

// Shared with the pending wait, which may end after the exchange.
struct HttpExchange::Watch {
  std::function<void()> on_gone;
};

HttpExchange::HttpExchange(TimedSocket& socket,
                           boost::beast::flat_buffer& buffer,
                           Parser& parser,
                           const HttpServerLimits& limits,
                           size_t head_bytes)
    : socket_(socket),
      buffer_(buffer),
      parser_(parser),
      head_bytes_(head_bytes),
      io_timeout_(limits.io_timeout),
      fractional_retry_after_(limits.fractional_retry_after),
      keep_alive_(parser.get().keep_alive()) {}

HttpExchange::~HttpExchange() {
  EndWatch();
}

std::string_view HttpExchange::Header(std::string_view name) const {
  return StdView(request()[BeastView(name)]);
}

std::optional<uint64_t> HttpExchange::content_length() const {
  const boost::optional<uint64_t> length = parser_.content_length();
  return length ? std::optional<uint64_t>(*length) : std::nullopt;
}

Result<size_t> HttpExchange::ReadBody(char* data,
                                      size_t size,
                                      const Yield& yield) {
  if (parser_.is_done()) {
    return 0;
  }
  if (!SendContinue(yield)) {
    return NotRun(Errc::kCallerGone, "caller closed the connection");
  }
  buffer_.reserve(kBodyBuffer);
  parser_.get().body().data = data;
  parser_.get().body().size = size;
  boost::system::error_code ec;
  while (!ec && !parser_.is_done() && parser_.get().body().size == size) {
    socket_.ExpiresAfter(io_timeout_);
    http::async_read_some(socket_.socket(), buffer_, parser_, yield[ec]);
    if (ec == http::error::need_buffer) {
      ec = {};
      break;
    }
  }
  socket_.ExpiresNever();
  if (!ec) {
    return size - parser_.get().body().size;
  }
  keep_alive_ = false;
  if (socket_.timed_out()) {
    return NotRun(Errc::kTimeout, "request body arrived too slowly");
  }
  if (ec == http::error::body_limit) {
    return NotRun(Errc::kBodyTooLarge, "request body is too large");
  }
  const bool malformed =
      ec.category() == make_error_code(http::error::bad_chunk).category() &&
      ec != http::error::partial_message && ec != http::error::end_of_stream;
  return malformed ? NotRun(Errc::kMalformedRequest, ec.message())
                   : NotRun(Errc::kCallerGone, ec.message());
}

Result<std::string> HttpExchange::ReadWholeBody(size_t limit,
                                                const Yield& yield) {
  std::string body;
  std::string piece(kBodyPiece, '\0');
  while (true) {
    const Result<size_t> size = ReadBody(piece.data(), piece.size(), yield);
    if (!size) {
      return size.error();
    }
    if (size.value() == 0) {
      return body;
    }
    if (body.size() + size.value() > limit) {
      return NotRun(Errc::kBodyTooLarge, "request body is too large");
    }
    body.append(piece, 0, size.value());
  }
}

void HttpExchange::Respond(ResponseHeader header,
                           std::string_view body,
                           const Yield& yield) {
  header.set(http::field::content_length, std::to_string(body.size()));
  BeginResponse(std::move(header));
  WriteBody(body.data(), body.size(), true, yield);
}

void HttpExchange::Respond(unsigned status,
                           std::string_view content_type,
                           std::string_view body,
                           const Yield& yield) {
  ResponseHeader header;
  header.result(status);
  header.set(http::field::content_type, BeastView(content_type));
  Respond(std::move(header), body, yield);
}

void HttpExchange::SetResponseField(std::string_view name,
                                    std::string_view value) {
  response_fields_.set(BeastView(name), BeastView(value));
}

void HttpExchange::BeginResponse(ResponseHeader header) {
  header.version(11);
  const bool has_length = header.count(http::field::content_length) > 0;
  const unsigned status = header.result_int();
  const bool bodiless = status == 204 || status == 304;
  // HTTP/1.0 callers know no chunks: the end of the connection ends the body.
  const bool chunked = !has_length && !bodiless && request().version() >= 11;
  keep_alive_ =
      keep_alive_ && parser_.is_done() && (has_length || chunked || bodiless);
  response_.emplace(std::move(header));
  for (const http::fields::value_type& field : response_fields_) {
    response_->set(field.name_string(), field.value());
  }
  if (chunked) {
    response_->set(http::field::transfer_encoding, "chunked");
  }
  if (!keep_alive_) {
    response_->set(http::field::connection, "close");
  } else if (request().version() < 11) {
    response_->set(http::field::connection, "keep-alive");
  }
  serializer_.emplace(*response_);
  response_begun_ = true;
  ends_with_connection_ = !has_length && !chunked && !bodiless;
  if (ends_with_connection_) {
    socket_.ResetOnClose(true);
  }
}

bool HttpExchange::WriteBody(const char* data,
                             size_t size,
                             bool last,
                             const Yield& yield) {
  if (broken_) {
    return false;
  }
  EndWatch();
  const unsigned status = response_->result_int();
  const bool skip_body =
      request().method() == http::verb::head || status == 204 || status == 304;
  bool written = true;
  if (skip_body) {
    if (!serializer_->is_header_done()) {
      serializer_->split(true);
      boost::system::error_code ec;
      socket_.ExpiresAfter(io_timeout_);
      http::async_write_header(socket_.socket(), *serializer_, yield[ec]);
      socket_.ExpiresNever();
      written = !ec;
    }
  } else {
    response_->body().data = size == 0 ? nullptr : const_cast<char*>(data);
    response_->body().size = size;
    response_->body().more = !last;
    written = Write(yield);
  }
  response_complete_ = last && written;
  if (response_complete_ && ends_with_connection_) {
    socket_.ResetOnClose(false);
  }
  if (!written) {
    Break();
  }
  return written;
}

void HttpExchange::Break() {
  broken_ = true;
  keep_alive_ = false;
  EndWatch();
  socket_.Close();
}

std::string HttpExchange::peer_ip() const {
  boost::system::error_code ec;
  const boost::asio::ip::tcp::endpoint peer =
      socket_.socket().remote_endpoint(ec);
  return ec ? std::string() : peer.address().to_string();
}

void HttpExchange::WatchCaller(std::function<void()> on_gone) {
  if (buffer_.size() > 0) {
    // A pipelined request is waiting: the caller is still there.
    return;
  }
  watch_ = std::make_shared<Watch>();
  watch_->on_gone = std::move(on_gone);
  const std::weak_ptr<Watch> weak = watch_;
  TimedSocket* const socket = &socket_;
  socket_.socket().async_wait(
      boost::asio::ip::tcp::socket::wait_read,
      [weak, socket](const boost::system::error_code& ec) {
        const std::shared_ptr<Watch> watch = weak.lock();
        if (ec || !watch || !watch->on_gone) {
          return;
        }
        boost::system::error_code peek_ec;
        char byte = 0;
        const size_t size = socket->socket().receive(
            boost::asio::buffer(&byte, 1),
            boost::asio::socket_base::message_peek, peek_ec);
        if (peek_ec || size == 0) {
          watch->on_gone();
        }
      });
}

bool HttpExchange::CallerHasLeft() {
  return buffer_.size() == 0 && socket_.PeerHasClosed();
}

void HttpExchange::EndWatch() {
  if (watch_) {
    watch_.reset();
    boost::system::error_code ignored;
    socket_.socket().cancel(ignored);
  }
}

bool HttpExchange::SendContinue(const Yield& yield) {
  if (continue_sent_ || response_begun_ ||
      !boost::beast::iequals(request()[http::field::expect], "100-continue")) {
    return true;
  }
  continue_sent_ = true;
  boost::system::error_code ec;
  socket_.ExpiresAfter(io_timeout_);
  boost::asio::async_write(
      socket_.socket(), boost::asio::buffer(kContinue.data(), kContinue.size()),
      yield[ec]);
  socket_.ExpiresNever();
  return !ec;
}

bool HttpExchange::Write(const Yield& yield) {
  boost::system::error_code ec;
  socket_.ExpiresAfter(io_timeout_);
  http::async_write(socket_.socket(), *serializer_, yield[ec]);
  socket_.ExpiresNever();
  return !ec || ec == http::error::need_buffer;
}

}  // namespace redwing
