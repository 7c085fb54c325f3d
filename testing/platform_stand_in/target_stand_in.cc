#include "testing/platform_stand_in/target_stand_in.h"

#include <fmt/format.h>

#include <algorithm>

#include "framework/http/http_exchange.h"
#include "framework/kernel/sleep.h"
#include "framework/settings/endpoint.h"

namespace redwing::testing {

namespace {
constexpr size_t kMaxBody = 1024 * 1024;  // bytes

// What the platform's rule allows beyond a target's rate limit.
constexpr double kRateOverage = 1.5;
constexpr int kRateSlack = 5;  // requests

// From then on what a target has said of itself must have been heard.
constexpr Milliseconds kHeardAfter{500};

// Targets accept any head that an operator may allow.
HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.header_bytes = 1024 * 1024;
  return limits;
}
}  // namespace

TargetStandIn::TargetStandIn(boost::asio::io_context& io,
                             std::string id,
                             int slots)
    : io_(io),
      id_(std::move(id)),
      slots_(slots),
      sockets_(io),
      server_(io, sockets_, metrics_, *this, Limits()) {}

std::string TargetStandIn::Listen(const std::string& ip) {
  server_.Listen(TcpEndpoint(ip + ":0"));
  return FormatEndpoint(server_.local_endpoint());
}

void TargetStandIn::SetLeaving(bool leaving) {
  leaving_ = leaving;
  said_leaving_at_.reset();
}

int TargetStandIn::ArrivedAfterLeaving(Milliseconds allowed) const {
  return static_cast<int>(std::count_if(
      arrivals_.begin(), arrivals_.end(), [this, allowed](TimePoint at) {
        return said_leaving_at_ && at > *said_leaving_at_ + allowed;
      }));
}

void TargetStandIn::SetRateLimit(std::optional<double> per_second) {
  rate_limit_ = per_second;
  named_limit_at_.reset();
}

int TargetStandIn::MostInRateWindow() const {
  if (!named_limit_at_) {
    return 0;
  }
  const auto from = std::upper_bound(arrivals_.begin(), arrivals_.end(),
                                     *named_limit_at_ + kHeardAfter);
  std::ptrdiff_t most = 0;
  for (auto first = from; first != arrivals_.end(); ++first) {
    const auto end =
        std::lower_bound(first, arrivals_.end(), *first + kRateWindow);
    most = std::max(most, end - first);
  }
  return static_cast<int>(most);
}

int TargetStandIn::AllowedInRateWindow() const {
  return static_cast<int>(kRateOverage * rate_limit_.value_or(0) *
                          kRateWindow.count()) +
         kRateSlack;
}

ResponseHeader TargetStandIn::Answer(unsigned status,
                                     std::string_view request_id) {
  ResponseHeader header;
  header.result(status);
  header.set("X-Redwingcart-Request-Id", BeastView(request_id));
  if (leaving_) {
    header.set("Server-Leaving", "1");
    said_leaving_at_ = said_leaving_at_.value_or(Clock::now());
  }
  if (rate_limit_) {
    header.set("Server-Limit", fmt::format("{}", *rate_limit_));
    named_limit_at_ = named_limit_at_.value_or(Clock::now());
  }
  return header;
}

void TargetStandIn::NoteArrival() {
  const TimePoint now = Clock::now();
  arrivals_.push_back(now);
  for (AskedTime& time : asked_) {
    time.arrived += now >= time.from && now < time.end ? 1 : 0;
    most_inside_backoff_ = std::max(most_inside_backoff_, time.arrived);
  }
}

void TargetStandIn::TurnAway(HttpExchange& exchange,
                             const std::string& request_id,
                             const Yield& yield) {
  const TimePoint now = Clock::now();
  asked_.push_back({now + kHeardAfter, now + *backoff_});
  ResponseHeader header = Answer(503, request_id);
  header.set("X-Redwingcart-Not-Executed", "1");
  header.set(http::field::retry_after,
             fmt::format("{:.3f}", ToSeconds(*backoff_)));
  exchange.Respond(std::move(header), "", yield);
}

void TargetStandIn::Handle(HttpExchange& exchange, const Yield& yield) {
  const std::string request_id(exchange.Header("X-Redwingcart-Request-Id"));
  const std::string_view wanted =
      exchange.Header("X-Redwingcart-Target-Instance");
  if (!wanted.empty() && wanted != id_) {
    exchange.Respond(Answer(421, request_id), "", yield);
    return;
  }
  NoteArrival();
  if (backoff_) {
    TurnAway(exchange, request_id, yield);
    return;
  }
  if (running_ >= slots_) {
    ResponseHeader header = Answer(503, request_id);
    header.set("X-Redwingcart-Not-Executed", "1");
    exchange.Respond(std::move(header), "", yield);
    return;
  }
  ++running_;
  most_at_once_ = std::max(most_at_once_, running_);
  runs_.push_back({request_id, std::string(exchange.method()),
                   std::string(exchange.target()),
                   std::string(exchange.Header("X-Redwingcart-Tenant")),
                   std::string(exchange.Header("Authorization")),
                   std::string(exchange.Header("X-Redwingcart-Deadline-Ms")),
                   Clock::now()});
  const Result<std::string> body = exchange.ReadWholeBody(kMaxBody, yield);
  SleepFor(io_, run_time_, yield);
  --running_;
  if (mode_ == TargetMode::kLoseAnswer || !body) {
    exchange.Break();
    return;
  }
  ResponseHeader header = Answer(200, request_id);
  header.set("X-Redwingcart-Server-Load",
             fmt::format("{},0,{}", running_, slots_));
  if (mode_ != TargetMode::kForge) {
    header.set("X-Redwingcart-Response-Signature", "signed-" + request_id);
  }
  exchange.Respond(std::move(header), "ran " + request_id, yield);
}

}  // namespace redwing::testing
