#include "framework/http/connection_pool.h"

#include <algorithm>

#include "framework/metrics/metrics.h"

namespace redwing {

namespace {
constexpr Milliseconds kIdleTime{30'000};
}  // namespace

ConnectionPool::ConnectionPool(boost::asio::io_context& io,
                               SocketRegistry& sockets,
                               Metrics& metrics,
                               size_t idle_per_endpoint)
    : io_(io),
      sockets_(sockets),
      metrics_(metrics),
      idle_per_endpoint_(idle_per_endpoint) {}

ConnectionPool::ConnectionPtr ConnectionPool::TakeIdle(
    const boost::asio::ip::tcp::endpoint& endpoint,
    std::string_view response_id) {
  std::vector<Idle>& idle = idle_[endpoint];
  for (size_t i = idle.size(); i-- > 0;) {
    const ConnectionPtr connection = idle[i].connection;
    const bool reusable = connection->reusable();
    if (reusable && !response_id.empty() &&
        connection->carried_ids().Contains(response_id)) {
      metrics_
          .Get("redwing_connections_passed_over_total",
               "Idle connections not used because they had carried the "
               "request's id, in connections")
          .Add();
      continue;
    }
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
    if (reusable) {
      return connection;
    }
  }
  return nullptr;
}

Result<ConnectionPool::ConnectionPtr> ConnectionPool::Acquire(
    const boost::asio::ip::tcp::endpoint& endpoint,
    std::string_view response_id,
    TimePoint deadline,
    const LinkTimeouts& timeouts,
    const Yield& yield) {
  const ConnectionPtr known = TakeIdle(endpoint, response_id);
  if (known) {
    if (!response_id.empty()) {
      known->carried_ids().Add(response_id);
    }
    known->ExpiresAt(deadline);
    return known;
  }
  metrics_
      .Get("redwing_upstream_connects_total",
           "Client connections opened, in connections")
      .Add();
  ConnectionPtr connection = std::make_shared<HttpConnection>(io_, sockets_);
  const Result<void> connected = connection->Connect(
      endpoint, std::min<TimePoint>(deadline, Clock::now() + timeouts.connect),
      yield);
  if (!connected) {
    return connected.error();
  }
  if (!response_id.empty()) {
    connection->carried_ids().Add(response_id);
  }
  connection->SetAcknowledgementTimeout(timeouts.acknowledgement);
  connection->ExpiresAt(deadline);
  return connection;
}

void ConnectionPool::Release(const boost::asio::ip::tcp::endpoint& endpoint,
                             ConnectionPtr connection) {
  std::vector<Idle>& idle = idle_[endpoint];
  if (idle.size() < idle_per_endpoint_ && connection->reusable()) {
    connection->ExpiresAt(TimePoint::max());
    idle.push_back({std::move(connection), Clock::now()});
  }
}

void ConnectionPool::CloseIdle(TimePoint now) {
  for (auto& [endpoint, idle] : idle_) {
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const Idle& item) {
                                return now - item.since > kIdleTime;
                              }),
               idle.end());
  }
}

}  // namespace redwing
