#include "delivery/internal/request_carrier.h"

#include <fmt/format.h>

#include "config/steering_config.h"
#include "delivery/internal/decision_log.h"
#include "delivery/internal/delivery.h"
#include "delivery/internal/header_rules.h"
#include "delivery/internal/hop_digest.h"
#include "delivery/internal/request_body.h"
#include "delivery/internal/retry_rules.h"
#include "delivery/internal/wait_policy.h"
#include "framework/http/http_exchange.h"
#include "framework/http/refusal.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "keys/key_ring.h"
#include "membership/membership.h"
#include "routing/target_router.h"

namespace redwing {

namespace {
constexpr unsigned kMinServerError = 500;
constexpr size_t kMaxKeyedBody = 1024 * 1024;  // bytes
constexpr Milliseconds kLagInterval{20};
// Lower bound of the random Retry-After of a request that was shed because of
// processor overload; the upper bound is twice this time.
constexpr Milliseconds kShedRetryAfter{200};
// Lower bound of the Retry-After of a request that reached no target.
constexpr Milliseconds kUnreachableRetryAfter{500};
// Retry-After of a request that this instance, which stops, would not finish;
// others can at once.
constexpr Milliseconds kStopRetryAfter{50};
// Log lines on shed requests: rate per second and burst. The metric counts all
// of them.
constexpr double kShedLogLinesPerSecond = 20;
}  // namespace

RequestCarrier::RequestCarrier(boost::asio::io_context& io,
                               SocketRegistry& sockets,
                               Metrics& metrics,
                               CarrierServices services,
                               std::vector<std::string> secrets,
                               DeliveryOptions options)
    : metrics_(metrics),
      services_(std::move(services)),
      signer_(std::move(secrets)),
      options_(std::move(options)),
      admitter_(services_.identity,
                services_.config,
                services_.keys,
                services_.freshness,
                signer_,
                options_.dialect),
      trail_(options_.max_decisions),
      sender_(io,
              sockets,
              metrics,
              services_,
              options_,
              signer_,
              admitter_,
              trail_),
      placements_(services_, options_, sender_),
      keyed_(services_,
             sender_,
             trail_,
             [this](Delivery& delivery, const Yield& yield) {
               return Deliver(delivery, yield);
             }),
      retry_budget_(options_.retries),
      shed_log_limiter_(kShedLogLinesPerSecond, kShedLogLinesPerSecond),
      lag_timer_(io, kLagInterval, [this]() { MeasureLag(); }),
      random_(std::random_device{}()) {}

void RequestCarrier::SetStopSource(
    std::function<std::optional<TimePoint>()> stop_time) {
  stop_time_ = std::move(stop_time);
}

void RequestCarrier::Start() {
  sender_.Start();
  lag_measured_at_ = Clock::now();
  lag_timer_.Start();
}

void RequestCarrier::Stop() {
  lag_timer_.Stop();
  sender_.Stop();
}

void RequestCarrier::HandleByService(HttpExchange& exchange,
                                     const Yield& yield) {
  if (!exchange.Header(kHopField).empty()) {
    // Echoes the attempt's id, so that the forwarding instance detects a
    // response or refusal that belongs to another request.
    exchange.SetResponseField(kAttemptField, exchange.Header(kAttemptField));
  }
  HandleAddressed(exchange, Addressing::kByService, yield);
}

void RequestCarrier::HandleByHost(HttpExchange& exchange, const Yield& yield) {
  HandleAddressed(exchange, Addressing::kByHost, yield);
}

void RequestCarrier::HandleAddressed(HttpExchange& exchange,
                                     Addressing addressing,
                                     const Yield& yield) {
  if (Shed(exchange, yield)) {
    return;
  }
  const double point = std::uniform_real_distribution<double>()(random_);
  const Result<RequestContext> context =
      admitter_.Admit(exchange, addressing, point);
  if (!context) {
    metrics_
        .Get("redwing_refused_total", "Requests refused, in requests",
             {{"error", ErrcName(context.error().errc)}})
        .Add();
    const std::string_view id = exchange.Header(options_.dialect.request_id);
    LogDecision(
        trail_, id,
        fmt::format("event=request_refused request={} outcome={} reason={}",
                    Quoted(id), ErrcName(context.error().errc),
                    Quoted(context.error().detail)));
    Refuse(exchange, addressing, context.error(), yield);
    return;
  }
  const Result<void> carried = HandleAdmitted(context.value(), exchange, yield);
  CountOutcome(context.value(), carried ? nullptr : &carried.error());
  if (!carried && carried.error().errc == Errc::kCallerGone) {
    exchange.Break();
  } else if (!carried && !exchange.response_begun() && !exchange.broken()) {
    Refuse(exchange, addressing, carried.error(), yield);
  }
}

void RequestCarrier::Refuse(HttpExchange& exchange,
                            Addressing addressing,
                            const Failure& failure,
                            const Yield& yield) {
  if (addressing == Addressing::kByService &&
      !exchange.Header(kHopField).empty()) {
    exchange.SetResponseField(kBodyField,
                              HopDigest::TextOf(RefusalBody(failure)));
  }
  SendRefusal(exchange, failure, yield);
}

Result<void> RequestCarrier::CheckEndsBeforeStop(
    const RequestContext& context) const {
  const std::optional<TimePoint> stop_time =
      stop_time_ ? stop_time_() : std::nullopt;
  if (!stop_time) {
    return boost::outcome_v2::success();
  }
  const TimePoint now = Clock::now();
  const Milliseconds run =
      std::max(longest_runs_.Longest(context.route->name, now),
               services_.router->TypicalRunTime(context.service->name));
  // No request is held past its deadline.
  const TimePoint end = std::min<TimePoint>(now + run, context.deadline);
  if (end < *stop_time) {
    return boost::outcome_v2::success();
  }
  return NotRun(Errc::kLeaving,
                "the instance stops before the request may have ended",
                kStopRetryAfter);
}

bool RequestCarrier::Shed(HttpExchange& exchange, const Yield& yield) {
  const double shed_fraction = shedder_.shed_fraction();
  std::uniform_real_distribution<double> uniform;
  // A forwarded request has already cost another instance processor time.
  if (shed_fraction <= 0 || !exchange.Header(kHopField).empty() ||
      uniform(random_) >= shed_fraction) {
    return false;
  }
  metrics_
      .Get("redwing_shed_total",
           "Requests refused for want of processor time, in requests")
      .Add();
  if (shed_log_limiter_.TryTake(Clock::now())) {
    const std::string_view id = exchange.Header(options_.dialect.request_id);
    LogDecision(trail_, id,
                fmt::format("event=request_shed request={} part={:.2f}",
                            Quoted(id), shed_fraction));
  }
  const Milliseconds wait = std::chrono::duration_cast<Milliseconds>(
      kShedRetryAfter * (1 + uniform(random_)));
  SendRefusal(exchange,
              NotRun(Errc::kQueueFull, "the instance is overloaded", wait),
              yield);
  return true;
}

void RequestCarrier::MeasureLag() {
  const TimePoint now = Clock::now();
  const Clock::duration lag = now - lag_measured_at_ - kLagInterval;
  shedder_.RecordLag(lag, now);
  metrics_
      .Durations("redwing_loop_lag_ms",
                 "By how much timers of the event loop come late, in "
                 "milliseconds")
      .Record(std::chrono::duration_cast<Milliseconds>(lag));
  lag_measured_at_ = now;
}

uint32_t RequestCarrier::key_epoch() const {
  return keyed_.epoch();
}

std::vector<RequestDecision> RequestCarrier::DecisionsOn(
    std::string_view request_id) const {
  return trail_.Find(request_id);
}

Result<void> RequestCarrier::HandleAdmitted(const RequestContext& context,
                                            HttpExchange& exchange,
                                            const Yield& yield) {
  RequestBody body(exchange, context.route->max_request_bytes);
  const Result<void> read = body.Prefetch(
      context.keyed() ? kMaxKeyedBody : RequestBody::kPrefetch, yield);
  if (!read) {
    return read.error();
  }
  retry_budget_.CountRequest(context.service->name, context.forwarded(),
                             services_.membership->members().size() + 1);
  Delivery delivery(context, body, exchange);
  const Result<void> ends = CheckEndsBeforeStop(context);
  if (!ends) {
    LogOutcome(delivery, &ends.error());
    return ends.error();
  }
  if (context.keyed()) {
    const Result<void> result = keyed_.Handle(delivery, yield);
    LogOutcome(delivery, result ? nullptr : &result.error());
    return result;
  }
  delivery.collect = options_.buffer_responses &&
                     exchange.request().method() != http::verb::head;
  delivery.cancellable = body.complete();
  if (delivery.cancellable) {
    exchange.WatchCaller([&delivery]() { delivery.cancellation.Cancel(); });
  }
  const Result<void> result = Deliver(delivery, yield);
  exchange.EndWatch();
  LogOutcome(delivery, result ? nullptr : &result.error());
  if (result && delivery.stored_response) {
    delivery.Respond(*delivery.stored_response, yield);
  }
  return result;
}

Result<void> RequestCarrier::Deliver(Delivery& delivery, const Yield& yield) {
  Failure last = NotRun(Errc::kNoTarget, "no region can serve the request now",
                        Milliseconds(1000));
  std::optional<StoredResponse> fallback;
  while (true) {
    const Result<void> result = placements_.TryNext(delivery, yield);
    if (delivery.exhausted) {
      // Backoff of all targets tells more precisely when targets accept
      // requests again than the failure of an earlier attempt.
      const bool all_backed_off = result.error().errc == Errc::kTargetBackoff &&
                                  last.verdict == Verdict::kNotRun;
      if (delivery.selected_target.empty() || all_backed_off) {
        last = result.error();
      }
      break;
    }
    if (result && MayReplaceResponse(delivery)) {
      delivery.verdict = Verdict::kRan;
      fallback = std::move(delivery.stored_response);
      delivery.stored_response.reset();
      continue;
    }
    if (result) {
      return result;
    }
    last = result.error();
    delivery.verdict = CombinedVerdict(delivery.verdict, last.verdict);
    if (!MayRetry(delivery, last)) {
      break;
    }
    metrics_
        .Get("redwing_retries_total", "Further tries, in tries",
             {{"after", ErrcName(last.errc)}})
        .Add();
  }
  if (fallback && !delivery.cancellation.cancelled()) {
    delivery.stored_response = std::move(fallback);
    return boost::outcome_v2::success();
  }
  last.verdict = CombinedVerdict(delivery.verdict, last.verdict);
  if (options_.led_targets && !delivery.context.forwarded()) {
    last.retry_after = RetryAfterFor(delivery, last);
  }
  return last;
}

Milliseconds RequestCarrier::RetryAfterFor(const Delivery& delivery,
                                           const Failure& failure) {
  const double random_value = std::uniform_real_distribution<double>()(random_);
  switch (failure.errc) {
    case Errc::kQueueFull:
      return RetryAfter(failure.retry_after,
                        delivery.context.deadline - Clock::now(), random_value);
    case Errc::kTargetUnreachable:
      return SpreadRetryAfter(kUnreachableRetryAfter, random_value);
    case Errc::kTargetBackoff:
      return SpreadRetryAfter(failure.retry_after, random_value);
    default:
      return failure.retry_after;
  }
}

bool RequestCarrier::MayReplaceResponse(const Delivery& delivery) {
  return delivery.stored_response &&
         delivery.stored_response->header.result_int() >= kMinServerError &&
         !delivery.context.runs_once() && delivery.CanRetry() &&
         retry_budget_.TrySpend(delivery.context.service->name);
}

bool RequestCarrier::MayRetry(const Delivery& delivery,
                              const Failure& failure) {
  const bool safe =
      failure.verdict == Verdict::kNotRun || !delivery.context.runs_once();
  if (!safe || !delivery.CanRetry()) {
    return false;
  }
  if (IsRefusedBeforeSending(failure.errc)) {
    return true;
  }
  return IsWorthRetry(failure.errc) &&
         retry_budget_.TrySpend(delivery.context.service->name);
}

void RequestCarrier::LogOutcome(const Delivery& delivery,
                                const Failure* failure) {
  const RequestContext& context = delivery.context;
  if (context.forwarded() && failure == nullptr) {
    // The log line of the attempt contains the same data.
    return;
  }
  std::string text = fmt::format(
      "event=request request={} outcome={} verdict={} route={} service={} "
      "workspace={} from={} target={} expected_ms={} sent={} refusals={} "
      "took_ms={} left_ms={} document={} reason={}",
      context.request_id,
      failure == nullptr ? "answered" : ErrcName(failure->errc),
      VerdictName(failure == nullptr ? Verdict::kRan : failure->verdict),
      context.route->name, context.service->name, context.workspace_name(),
      context.forwarded() ? context.from_region : "caller",
      delivery.selected_target, delivery.expected.count(), delivery.sent,
      delivery.refusals, context.age().count(), context.left().count(),
      context.document->revision(),
      Quoted(failure == nullptr ? "" : failure->detail));
  LogDecision(trail_, context.request_id, std::move(text));
}

void RequestCarrier::CountOutcome(const RequestContext& context,
                                  const Failure* failure) {
  metrics_
      .Durations(
          failure == nullptr ? "redwing_answered_ms" : "redwing_failed_ms",
          "From the request's arrival to its end, in milliseconds")
      .Record(std::chrono::duration_cast<Milliseconds>(Clock::now() -
                                                       context.begun));
  if (failure == nullptr) {
    longest_runs_.Record(context.route->name, context.age(), Clock::now());
    metrics_
        .Get("redwing_carried_total", "Requests carried, in requests",
             {{"service", context.service->name}})
        .Add();
    return;
  }
  metrics_
      .Get("redwing_refused_total", "Requests refused, in requests",
           {{"error", ErrcName(failure->errc)}})
      .Add();
}

}  // namespace redwing
