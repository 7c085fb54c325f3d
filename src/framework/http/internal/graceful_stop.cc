#include "framework/http/graceful_stop.h"

#include "framework/http/http_server.h"
#include "framework/log/log.h"

namespace redwing {

namespace {
constexpr Milliseconds kTickInterval{20};
}  // namespace

GracefulStop::GracefulStop(boost::asio::io_context& io,
                           HttpServer& server,
                           Milliseconds notice,
                           Milliseconds limit,
                           std::function<void()> on_done)
    : server_(server),
      notice_(notice),
      limit_(limit),
      on_done_(std::move(on_done)),
      tick_(io, kTickInterval, [this]() { Tick(); }) {}

void GracefulStop::Begin() {
  if (begun_) {
    return;
  }
  begun_ = true;
  begun_at_ = Clock::now();
  spdlog::info("graceful shutdown begins, {} requests run",
               server_.busy_count());
  tick_.Start();
}

void GracefulStop::Cancel() {
  tick_.Stop();
}

void GracefulStop::Tick() {
  const Clock::duration elapsed = Clock::now() - begun_at_;
  if (elapsed < notice_) {
    return;
  }
  if (!server_.draining()) {
    server_.BeginDrain();
  }
  const bool over = elapsed - notice_ > limit_;
  if (server_.connection_count() > 0 && !over) {
    return;
  }
  spdlog::info("graceful shutdown ends, {} requests cut", server_.busy_count());
  tick_.Stop();
  on_done_();
}

}  // namespace redwing
