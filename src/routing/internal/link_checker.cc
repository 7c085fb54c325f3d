#include "routing/internal/link_checker.h"

#include <algorithm>
#include <memory>

#include "framework/http/http_connection.h"
#include "framework/kernel/spawn.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"

namespace redwing {

LinkChecker::LinkChecker(boost::asio::io_context& io,
                         SocketRegistry& sockets,
                         Metrics& metrics)
    : io_(io),
      sockets_(sockets),
      metrics_(metrics),
      random_(std::random_device{}()),
      task_(io, TargetLinks::kCheckInterval, [this]() { CheckIfDue(); }) {}

void LinkChecker::Start(std::function<Endpoints()> endpoints,
                        std::function<void()> on_change) {
  endpoints_ = std::move(endpoints);
  on_change_ = std::move(on_change);
  task_.Start();
}

void LinkChecker::Stop() {
  task_.Stop();
}

Failure LinkChecker::LostFailure() {
  return NotRun(Errc::kNoTarget, "this instance has no links to targets",
                TargetLinks::kCheckInterval);
}

void LinkChecker::RecordFailure() {
  links_.RecordFailure();
  CheckIfDue();
}

void LinkChecker::CheckIfDue() {
  const TimePoint now = Clock::now();
  if (!endpoints_ || !links_.IsCheckDue(now)) {
    return;
  }
  Endpoints endpoints = endpoints_();
  std::shuffle(endpoints.begin(), endpoints.end(), random_);
  endpoints.resize(std::min(endpoints.size(), TargetLinks::kCheckedTargets));
  if (endpoints.empty()) {
    return;
  }
  links_.BeginCheck(now);
  const auto check = std::make_shared<Check>();
  check->pending = endpoints.size();
  for (const boost::asio::ip::tcp::endpoint& endpoint : endpoints) {
    Spawn(io_, [this, endpoint, check](const Yield& yield) {
      Connect(endpoint, check, yield);
    });
  }
}

void LinkChecker::Connect(const boost::asio::ip::tcp::endpoint& endpoint,
                          const std::shared_ptr<Check>& check,
                          const Yield& yield) {
  HttpConnection connection(io_, sockets_);
  const bool reached = static_cast<bool>(connection.Connect(
      endpoint, Clock::now() + TargetLinks::kCheckTimeout, yield));
  check->reached += reached ? 1 : 0;
  if (--check->pending == 0) {
    EndCheck(check->reached);
  }
}

void LinkChecker::EndCheck(size_t reached) {
  if (!links_.EndCheck(reached)) {
    return;
  }
  spdlog::warn("event=target_links_{} reached={}",
               links_.up() ? "restored" : "lost", reached);
  metrics_
      .Get("redwing_target_link_changes_total",
           "Losses and returns of the own links to targets, in changes",
           {{"links", links_.up() ? "up" : "down"}})
      .Add();
  on_change_();
}

}  // namespace redwing
