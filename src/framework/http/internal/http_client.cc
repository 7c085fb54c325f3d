#include "framework/http/http_client.h"

#include <array>

#include "framework/http/http_connection.h"
#include "framework/settings/endpoint.h"

namespace redwing {

namespace {

RequestHeader HeaderOf(const HttpCall& call) {
  RequestHeader header;
  header.version(11);
  header.method(call.method);
  header.target(BeastView(call.target));
  header.set(http::field::host, FormatEndpoint(call.endpoint));
  header.set(http::field::connection, "close");
  for (const auto& [name, value] : call.headers) {
    header.set(name, value);
  }
  if (!call.body.empty()) {
    header.set(http::field::content_type, "application/json");
  }
  if (!call.body.empty() || call.method == http::verb::post ||
      call.method == http::verb::put) {
    header.set(http::field::content_length, std::to_string(call.body.size()));
  }
  return header;
}

}  // namespace

Result<HttpReply> HttpClient::Call(const HttpCall& call, const Yield& yield) {
  HttpConnection connection(io_, sockets_);
  const Result<void> connected =
      connection.Connect(call.endpoint, Clock::now() + call.timeout, yield);
  if (!connected) {
    return connected.error();
  }
  const Result<void> sent = connection.BeginRequest(
      HeaderOf(call), call.body.data(), call.body.size(), true, yield);
  if (!sent) {
    return sent.error();
  }
  const Result<void> answered = connection.ReadHeader(yield);
  if (!answered) {
    return answered.error();
  }
  HttpReply reply;
  reply.status = connection.response().result_int();
  reply.header = connection.response();
  std::array<char, 8192> piece{};
  while (true) {
    const Result<size_t> size =
        connection.ReadBody(piece.data(), piece.size(), yield);
    if (!size) {
      return size.error();
    }
    if (size.value() == 0) {
      return reply;
    }
    if (reply.body.size() + size.value() > kMaxBody) {
      return MayHaveRun(Errc::kBodyTooLarge, "answer is too large");
    }
    reply.body.append(piece.data(), size.value());
  }
}

}  // namespace redwing
