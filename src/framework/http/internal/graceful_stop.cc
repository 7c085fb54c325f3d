#include "framework/http/graceful_stop.h"

#include <numeric>

#include "framework/http/http_server.h"
#include "framework/log/log.h"

namespace redwing {

namespace {
constexpr Milliseconds kTickInterval{20};
}  // namespace

GracefulStop::GracefulStop(boost::asio::io_context& io,
                           const StopSchedule& schedule,
                           std::function<void()> on_done)
    : schedule_(schedule),
      on_done_(std::move(on_done)),
      tick_(io, kTickInterval, [this]() { Tick(); }) {}

void GracefulStop::Begin() {
  if (begun_) {
    return;
  }
  begun_ = true;
  begun_at_ = Clock::now();
  spdlog::info("event=shutdown_begins running={} notice_ms={} end_ms={}",
               BusyCount(), schedule_.notice().count(),
               schedule_.end().count());
  for (HttpServer* const server : servers_) {
    server->GiveNotice();
  }
  tick_.Start();
}

void GracefulStop::Cancel() {
  tick_.Stop();
}

std::optional<TimePoint> GracefulStop::end_time() const {
  return begun_ ? std::optional<TimePoint>(begun_at_ + schedule_.end())
                : std::nullopt;
}

size_t GracefulStop::BusyCount() const {
  return std::accumulate(servers_.begin(), servers_.end(), size_t{0},
                         [](size_t sum, const HttpServer* server) {
                           return sum + server->busy_count();
                         });
}

size_t GracefulStop::ConnectionCount() const {
  return std::accumulate(servers_.begin(), servers_.end(), size_t{0},
                         [](size_t sum, const HttpServer* server) {
                           return sum + server->connection_count();
                         });
}

void GracefulStop::Tick() {
  const Clock::duration elapsed = Clock::now() - begun_at_;
  if (elapsed < schedule_.notice()) {
    return;
  }
  if (!draining_) {
    draining_ = true;
    for (HttpServer* const server : servers_) {
      server->BeginDrain();
    }
  }
  const bool over = elapsed > schedule_.end();
  if (ConnectionCount() > 0 && !over) {
    return;
  }
  spdlog::info("event=shutdown_ends cut={}", BusyCount());
  tick_.Stop();
  on_done_();
}

}  // namespace redwing
