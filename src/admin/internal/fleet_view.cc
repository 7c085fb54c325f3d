#include "admin/fleet_view.h"

#include <fmt/format.h>

#include "entry/internal_call.h"
#include "framework/http/refusal.h"
#include "framework/http/url.h"
#include "framework/settings/endpoint.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr std::string_view kStatusTarget = "/internal/v1/status";
constexpr Milliseconds kCallTimeout{5'000};

}  // namespace

FleetView::FleetView(boost::asio::io_context& io,
                     SocketRegistry& sockets,
                     std::string entry_address,
                     std::string fleet_secret)
    : client_(io, sockets),
      entry_address_(std::move(entry_address)),
      fleet_secret_(std::move(fleet_secret)) {}

Result<json> FleetView::Status(const Yield& yield) {
  const Result<json> own = CallEntry(entry_address_, http::verb::get,
                                     std::string(kStatusTarget), yield);
  if (!own) {
    return own.error();
  }
  json instances = json::array({own.value()});
  AskMembers(own.value(), std::string(kStatusTarget), &instances, yield);
  return instances;
}

Result<json> FleetView::Decisions(const std::string& request_id,
                                  const Yield& yield) {
  const Result<json> status = CallEntry(entry_address_, http::verb::get,
                                        std::string(kStatusTarget), yield);
  if (!status) {
    return status.error();
  }
  const std::string target = fmt::format("/internal/v1/decisions?request={}",
                                         PercentEncode(request_id));
  const Result<json> own =
      CallEntry(entry_address_, http::verb::get, target, yield);
  if (!own) {
    return own.error();
  }
  json instances = json::array({own.value()});
  AskMembers(status.value(), target, &instances, yield);
  return instances;
}

void FleetView::AskMembers(const json& status,
                           const std::string& target,
                           json* instances,
                           const Yield& yield) {
  for (const json& member : status.at("members")) {
    const std::string address = member.value("http_address", "");
    if (!ParseEndpoint(address)) {
      continue;
    }
    const Result<json> answer =
        CallEntry(address, http::verb::get, target, yield);
    if (answer) {
      instances->push_back(answer.value());
    } else {
      instances->push_back({{"instance", member.at("instance")},
                            {"region", member.at("region")},
                            {"unreachable", answer.error().detail}});
    }
  }
}

Result<json> FleetView::Withdraw(const std::string& key_id,
                                 const std::string& by,
                                 const Yield& yield) {
  return CallEntry(entry_address_, http::verb::post,
                   fmt::format("/internal/v1/withdraw?key_id={}&by={}",
                               PercentEncode(key_id), PercentEncode(by)),
                   yield);
}

Result<json> FleetView::CallEntry(const std::string& address,
                                  http::verb method,
                                  const std::string& target,
                                  const Yield& yield) {
  HttpCall call;
  call.endpoint = TcpEndpoint(address);
  call.method = method;
  call.target = target;
  call.timeout = kCallTimeout;
  call.headers[std::string(kInternalCallField)] =
      SignInternalCall(fleet_secret_, StdView(http::to_string(method)), target);
  const Result<HttpReply> reply = client_.Call(call, yield);
  if (!reply) {
    return reply.error();
  }
  if (reply.value().status != 200) {
    return ParseRefusal(reply.value().status, reply.value().body);
  }
  json value = json::parse(reply.value().body, nullptr,
                           /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    return MayHaveRun(Errc::kInternal, "the entry's answer is not JSON");
  }
  return value;
}

}  // namespace redwing
