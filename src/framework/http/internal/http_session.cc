#include "framework/http/internal/http_session.h"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "framework/http/header_check.h"
#include "framework/http/http_server.h"
#include "framework/http/refusal.h"
#include "framework/kernel/guard.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"

namespace redwing {

namespace {
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr size_t kReadSize = 4096;  // bytes
constexpr Milliseconds kLingerTime{1000};
constexpr size_t kLingerBytes = 1024 * 1024;

std::string_view View(const boost::beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}
}  // namespace

HttpSession::HttpSession(HttpServer& server,
                         boost::asio::ip::tcp::socket socket)
    : server_(server), socket_(server.sockets_, std::move(socket)) {
  server_.sessions_.insert(this);
}

HttpSession::~HttpSession() {
  server_.Remove(this);
}

void HttpSession::Run(const Yield& yield) {
  while (ServeOne(yield)) {
  }
  socket_.Close();
}

void HttpSession::CloseIfIdle() {
  if (!busy_) {
    socket_.Close();
  }
}

void HttpSession::LimitBuffer() {
  buffer_.max_size(
      std::max({buffer_.size(), server_.limits_.header_bytes + kReadSize,
                HttpExchange::kBodyBuffer}));
}

Result<size_t> HttpSession::ReadHead(const Yield& yield) {
  const size_t limit = server_.limits_.header_bytes;
  size_t searched = 0;
  while (true) {
    // Empty lines before a request line are allowed. RFC 9112 section 2.2.
    while (searched == 0 && View(buffer_).substr(0, 2) == "\r\n") {
      buffer_.consume(2);
    }
    const size_t end = View(buffer_).find(kHeadEnd, searched);
    if (end != std::string_view::npos && end + kHeadEnd.size() <= limit) {
      return end + kHeadEnd.size();
    }
    if (buffer_.size() >= limit) {
      return NotRun(Errc::kHeaderTooLarge, "request head is too large");
    }
    const bool idle = buffer_.size() == 0;
    if (idle && server_.draining()) {
      return 0;
    }
    if (idle) {
      socket_.ExpiresAfter(server_.limits_.idle_timeout);
    } else if (!busy_) {
      socket_.ExpiresAfter(server_.limits_.header_timeout);
    }
    busy_ = !idle;
    searched = buffer_.size() < kHeadEnd.size()
                   ? 0
                   : buffer_.size() - kHeadEnd.size() + 1;
    boost::system::error_code ec;
    const size_t size =
        socket_.socket().async_read_some(buffer_.prepare(kReadSize), yield[ec]);
    if (ec) {
      return 0;
    }
    buffer_.commit(size);
  }
}

bool HttpSession::ServeOne(const Yield& yield) {
  busy_ = false;
  LimitBuffer();
  const Result<size_t> head = ReadHead(yield);
  busy_ = true;
  socket_.ExpiresNever();
  if (!head) {
    Refuse(head.error(), yield);
    return false;
  }
  if (head.value() == 0) {
    return false;
  }
  const std::optional<std::string> raw_problem =
      FindRawHeaderProblem(View(buffer_).substr(0, head.value()));
  if (raw_problem) {
    Refuse(NotRun(Errc::kMalformedRequest, *raw_problem), yield);
    return false;
  }
  HttpExchange::Parser parser;
  parser.header_limit(server_.limits_.header_bytes);
  parser.body_limit(server_.limits_.body_bytes);
  boost::system::error_code ec;
  try {
    buffer_.consume(parser.put(
        boost::asio::buffer(buffer_.data().data(), head.value()), ec));
  } catch (const std::length_error& error) {
    // Beast cannot store a field of this length.
    ec = http::error::header_limit;
    spdlog::info("event=head_refused reason={}", Quoted(error.what()));
  }
  if (ec == http::error::header_limit) {
    Refuse(NotRun(Errc::kHeaderTooLarge, "a header field is too large"), yield);
    return false;
  }
  if (ec == http::error::body_limit) {
    Refuse(NotRun(Errc::kBodyTooLarge, "request body is too large"), yield);
    return false;
  }
  if (ec || !parser.is_header_done()) {
    Refuse(NotRun(Errc::kMalformedRequest,
                  ec ? ec.message() : "incomplete request head"),
           yield);
    return false;
  }
  const std::optional<std::string> framing_problem =
      FindFramingProblem(parser.get());
  if (framing_problem) {
    Refuse(NotRun(Errc::kMalformedRequest, *framing_problem), yield);
    return false;
  }
  HttpExchange exchange(socket_, buffer_, parser, server_.limits_,
                        head.value());
  if (server_.draining() || server_.closing_) {
    exchange.CloseAfterwards();
  }
  const bool handled = RunGuarded(
      "request", [&]() { server_.handler_.Handle(exchange, yield); });
  if (!handled && !exchange.response_begun() && !exchange.broken()) {
    SendRefusal(exchange,
                MayHaveRun(Errc::kInternal, "the request ended unexpectedly"),
                yield);
  }
  if (!exchange.response_complete()) {
    exchange.Break();
    return false;
  }
  const bool keep = exchange.keep_alive() && parser.is_done();
  if (!keep) {
    LingeringClose(yield);
  }
  return keep;
}

void HttpSession::Refuse(const Failure& failure, const Yield& yield) {
  server_.metrics_
      .Get("redwing_http_refused_total",
           "Requests refused while reading their head, in requests",
           {{"error", ErrcName(failure.errc)}})
      .Add();
  const std::string text = RefusalText(failure);
  boost::system::error_code ec;
  socket_.ExpiresAfter(server_.limits_.io_timeout);
  boost::asio::async_write(socket_.socket(), boost::asio::buffer(text),
                           yield[ec]);
  LingeringClose(yield);
}

void HttpSession::LingeringClose(const Yield& yield) {
  boost::system::error_code ec;
  socket_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
  socket_.ExpiresAfter(kLingerTime);
  size_t total = 0;
  while (!ec && total < kLingerBytes) {
    buffer_.consume(buffer_.size());
    total +=
        socket_.socket().async_read_some(buffer_.prepare(kReadSize), yield[ec]);
  }
}

}  // namespace redwing
