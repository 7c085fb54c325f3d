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

Result<ConnectionPool::ConnectionPtr> ConnectionPool::Acquire(
    const boost::asio::ip::tcp::endpoint& endpoint,
    TimePoint deadline,
    const LinkTimeouts& timeouts,
    const Yield& yield) {
  std::vector<Idle>& idle = idle_[endpoint];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back().connection);
    idle.pop_back();
    if (connection->reusable()) {
      connection->ExpiresAt(deadline);
      return connection;
    }
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
