#include "routing/internal/health_poller.h"

#include <nlohmann/json.hpp>

#include "framework/kernel/spawn.h"
#include "routing/target_state.h"

namespace redwing {

namespace {
// Together with kTimeout, this detects a departing target within a second.
constexpr Milliseconds kInterval{500};
// Shorter than the interval, so that polls of a target do not overlap.
constexpr Milliseconds kTimeout{400};
}  // namespace

HealthPoller::HealthPoller(boost::asio::io_context& io, SocketRegistry& sockets)
    : io_(io),
      client_(io, sockets),
      task_(io, kInterval, [this]() { PollAll(); }) {}

void HealthPoller::Start(std::function<StateList()> targets) {
  targets_ = std::move(targets);
  task_.Start();
}

void HealthPoller::Stop() {
  task_.Stop();
}

void HealthPoller::PollAll() {
  for (const std::shared_ptr<TargetState>& state : targets_()) {
    Spawn(io_, [this, state](const Yield& yield) { Poll(state, yield); });
  }
}

void HealthPoller::Poll(const std::shared_ptr<TargetState>& state,
                        const Yield& yield) {
  HttpCall call;
  call.endpoint = state->endpoint();
  call.target = "/healthz";
  call.timeout = kTimeout;
  const Result<HttpReply> reply = client_.Call(call, yield);
  if (!reply) {
    // Health responses can be late or wrong, so that only a reported departure
    // is used. Ejection depends on failures of requests.
    return;
  }
  const nlohmann::json body = nlohmann::json::parse(reply.value().body, nullptr,
                                                    /*allow_exceptions=*/false);
  state->SetLeaving(body.is_object() && body.value("status", "") == "leaving");
}

}  // namespace redwing
