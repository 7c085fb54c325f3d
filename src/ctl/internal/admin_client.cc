#include "ctl/admin_client.h"

#include "framework/http/http_client.h"
#include "framework/http/refusal.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/spawn.h"
#include "framework/wire/json_text.h"

namespace redwing {

namespace {
constexpr Milliseconds kTimeout{30'000};
}  // namespace

Result<nlohmann::json> AdminClient::Call(http::verb method,
                                         const std::string& target,
                                         const nlohmann::json& body) const {
  boost::asio::io_context io(1);
  SocketRegistry sockets(io);
  HttpClient client(io, sockets);
  HttpCall call;
  call.endpoint = endpoint_;
  call.method = method;
  call.target = target;
  call.body = body.is_null() ? "" : JsonText(body);
  call.timeout = kTimeout;
  call.headers["Authorization"] = "Bearer " + key_;
  Result<HttpReply> reply = NotRun(Errc::kInternal, "not called");
  Spawn(io, [&](const Yield& yield) {
    reply = client.Call(call, yield);
    io.stop();
  });
  io.run();
  if (!reply) {
    return reply.error();
  }
  if (reply.value().status != 200) {
    return ParseRefusal(reply.value().status, reply.value().body);
  }
  nlohmann::json answer = nlohmann::json::parse(reply.value().body, nullptr,
                                                /*allow_exceptions=*/false);
  if (answer.is_discarded()) {
    return MayHaveRun(Errc::kInternal, "the answer is not JSON");
  }
  return answer;
}

}  // namespace redwing
