#include "delivery/internal/upstream_sender.h"

#include <fmt/format.h>

#include <algorithm>

#include "budget/budgets.h"
#include "delivery/delivery_options.h"
#include "delivery/internal/carrier_services.h"
#include "delivery/internal/decision_log.h"
#include "delivery/internal/delivery.h"
#include "delivery/internal/header_rules.h"
#include "delivery/internal/link_estimate.h"
#include "delivery/internal/request_admitter.h"
#include "delivery/internal/request_body.h"
#include "delivery/internal/retry_rules.h"
#include "delivery/internal/target_notice.h"
#include "delivery/internal/wait_policy.h"
#include "delivery/request_handler.h"
#include "framework/http/http_exchange.h"
#include "framework/log/log.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/member.h"
#include "routing/target_router.h"

namespace redwing {

namespace {
constexpr size_t kMaxIdlePerEndpoint = 64;
// Upper bound on the bytes charged in advance; bytes beyond it are paced as
// they are sent.
constexpr double kMaxLinkEstimate = 16 * 1024;  // bytes
constexpr Milliseconds kCloseIdleInterval{5'000};
// Minimum Retry-After for a request whose target has stopped accepting
// requests: another target may be found by then.
constexpr Milliseconds kStoppedRetryAfter{100};

// Fails with kTargetBackoff if a target has stopped accepting requests since
// its slot was acquired.
Result<void> CheckAcceptsRequests(const TargetState& state) {
  const TimePoint now = Clock::now();
  if (state.TakesRequests(now)) {
    return boost::outcome_v2::success();
  }
  return NotRun(
      Errc::kTargetBackoff,
      "the target stopped accepting requests before the request was sent",
      std::max(kStoppedRetryAfter, state.BackoffLeft(now)));
}

// Describes how an attempt ended, for its log line.
std::string Describe(const Result<void>& result,
                     const AttemptTrace& trace,
                     TimePoint begun) {
  return fmt::format(
      "outcome={} end={} verdict={} connection={} exchange={} status={} "
      "took_ms={}{}",
      result ? "answered" : ErrcName(result.error().errc),
      AttemptEndName(trace.end), VerdictName(VerdictOf(trace.end)),
      trace.connection, trace.exchange, trace.status,
      std::chrono::duration_cast<Milliseconds>(Clock::now() - begun).count(),
      result ? "" : " reason=" + Quoted(result.error().detail));
}

AttemptOutcome OutcomeOf(const Result<void>& result,
                         const UpstreamAttempt& attempt) {
  if (result && attempt.truncated()) {
    return AttemptOutcome::kFailed;
  }
  if (result) {
    return attempt.server_error() ? AttemptOutcome::kErrorResponse
                                  : AttemptOutcome::kAnswered;
  }
  switch (result.error().errc) {
    case Errc::kTargetShed:
      return AttemptOutcome::kShed;
    case Errc::kTargetMoved:
      return AttemptOutcome::kMoved;
    case Errc::kTargetUnreachable:
    case Errc::kTargetBroken:
      return attempt.responded() ? AttemptOutcome::kFailed
                                 : AttemptOutcome::kDisconnected;
    case Errc::kTargetTimeout:
      return AttemptOutcome::kFailed;
    default:
      return AttemptOutcome::kCancelled;
  }
}
}  // namespace

UpstreamSender::UpstreamSender(boost::asio::io_context& io,
                               SocketRegistry& sockets,
                               Metrics& metrics,
                               const CarrierServices& services,
                               const DeliveryOptions& options,
                               const HopSigner& signer,
                               const RequestAdmitter& admitter,
                               RequestTrail& trail)
    : metrics_(metrics),
      services_(services),
      options_(options),
      signer_(signer),
      admitter_(admitter),
      trail_(trail),
      pool_(io, sockets, metrics, kMaxIdlePerEndpoint),
      close_idle_(io, kCloseIdleInterval, [this]() {
        pool_.CloseIdle(Clock::now());
      }) {}

void UpstreamSender::Start() {
  close_idle_.Start();
}

void UpstreamSender::Stop() {
  close_idle_.Stop();
}

Result<void> UpstreamSender::SendToTarget(Delivery& delivery,
                                          const Yield& yield) {
  const RequestContext& context = delivery.context;
  const Result<std::unique_ptr<Reservation>> reserved =
      services_.budgets->Reserve(LocalCharges(context), context.deadline,
                                 context.allow_stale());
  if (!reserved) {
    delivery.tried_regions.insert(services_.identity->region);
    return reserved.error();
  }
  Reservation& reservation = *reserved.value();
  Result<TargetLease> lease = AcquireSlot(delivery, reservation, yield);
  if (!lease) {
    delivery.tried_regions.insert(services_.identity->region);
    return lease.error();
  }
  if (delivery.IsAbandoned()) {
    lease.value().SetOutcome(AttemptOutcome::kCancelled);
    return NotRun(Errc::kCallerGone, "the caller has disconnected");
  }
  const Target& target = lease.value().state().target();
  delivery.tried_targets.insert(target.name);
  delivery.last_failure_domain = target.failure_domain;
  ++delivery.sent;
  AttemptPlan plan = PlanFor(delivery);
  plan.endpoint = lease.value().state().endpoint();
  plan.expects_echo = context.service->echoes_attempt_ids;
  plan.header.set(BeastView(options_.dialect.target_deadline),
                  std::to_string(context.left().count()));
  if (!options_.dialect.target_instance.empty()) {
    plan.header.set(BeastView(options_.dialect.target_instance), target.name);
  }
  plan.response_prepaid = ResponseEstimate(context);
  const TargetState& state = lease.value().state();
  bool charge_failed = false;
  plan.before_send = [&state, &reservation, &charge_failed]() {
    const Result<void> accepts = CheckAcceptsRequests(state);
    if (!accepts) {
      return accepts;
    }
    const Result<void> charged = reservation.Renew(Clock::now());
    charge_failed = !charged;
    return charged;
  };
  plan.on_notice = [this, &delivery, &target](const TargetNotice& notice) {
    ApplyNotice(delivery, target, notice);
  };
  UpstreamAttempt attempt(pool_, *services_.budgets, metrics_, options_.dialect,
                          std::move(plan));
  const TimePoint begun = Clock::now();
  const Result<void> result = attempt.Run(delivery.body, delivery.exchange,
                                          delivery.cancellation, yield);
  LogDecision(
      trail_, context.request_id,
      fmt::format("event=attempt request={} number={} target={} {} key={} "
                  "load={}",
                  context.request_id, delivery.sent, target.name,
                  Describe(result, attempt.trace(), begun),
                  Quoted(context.affinity_key),
                  attempt.load() ? fmt::format("{}+{}", attempt.load()->running,
                                               attempt.load()->waiting)
                                 : "unknown"));
  if (charge_failed ||
      (!result && IsRefusedBeforeSending(result.error().errc))) {
    --delivery.sent;
  }
  if (attempt.load()) {
    lease.value().SetLoad(*attempt.load());
  }
  lease.value().SetOutcome(OutcomeOf(result, attempt));
  delivery.stored_response = std::move(attempt.stored_response());
  return result;
}

Result<void> UpstreamSender::ForwardToInstance(Delivery& delivery,
                                               const Member& member,
                                               bool owner_hop,
                                               const Yield& yield) {
  const RequestContext& context = delivery.context;
  const std::string& own = services_.identity->region;
  AttemptPlan plan = PlanFor(delivery);
  if (member.region != own) {
    plan.request_link = LinkBudgetName(own, member.region);
    const double estimate =
        std::min(kMaxLinkEstimate,
                 kLinkHeaderBytes +
                     static_cast<double>(delivery.body.buffered().size()));
    const Result<void> admitted = services_.budgets->Acquire(
        {plan.request_link, estimate, Errc::kLinkFull}, context.deadline,
        context.allow_stale(), yield);
    plan.request_prepaid = estimate - kLinkHeaderBytes;
    if (!admitted) {
      return admitted;
    }
  }
  HopToken token = TokenFor(delivery, member);
  token.owner_hop = owner_hop;
  const std::string target = fmt::format("{}{}{}", RequestHandler::kPathPrefix,
                                         context.service->name, context.target);
  token.request_line = RequestLineOf(delivery.exchange.method(), target);
  if (target.size() > kMaxTokenLine) {
    token.target.clear();
  }
  plan.endpoint = TcpEndpoint(member.http_address);
  plan.header.target(target);
  plan.header.set(BeastView(kHopField), signer_.Sign(token));
  plan.to_instance = true;
  plan.expects_echo = true;
  plan.on_departure = [this, &delivery](const TargetStart& departed) {
    ApplyDeparture(delivery, departed);
  };
  UpstreamAttempt attempt(pool_, *services_.budgets, metrics_, options_.dialect,
                          std::move(plan));
  const TimePoint begun = Clock::now();
  const Result<void> result = attempt.Run(delivery.body, delivery.exchange,
                                          delivery.cancellation, yield);
  if (!result) {
    LogDecision(
        trail_, context.request_id,
        fmt::format("event=hop request={} to={} {}", context.request_id,
                    member.name, Describe(result, attempt.trace(), begun)));
  }
  delivery.connect_time = attempt.connect_time();
  if (result || !IsRefusedBeforeSending(result.error().errc)) {
    ++delivery.sent;
  }
  delivery.stored_response = std::move(attempt.stored_response());
  return result;
}

void UpstreamSender::ApplyNotice(Delivery& delivery,
                                 const Target& target,
                                 const TargetNotice& notice) {
  const RequestContext& context = delivery.context;
  if (notice.leaving) {
    const TargetStart start(target.name, target.started_at);
    services_.router->RecordDeparture(start, target.name, context.request_id);
    if (context.forwarded()) {
      delivery.exchange.SetResponseField(kDepartedField, start.Format());
    }
  }
  if (notice.backoff) {
    services_.router->RecordBackoff(target, *notice.backoff,
                                    context.request_id);
  }
  if (notice.rate_limit) {
    services_.router->RecordRateLimit(target, *notice.rate_limit,
                                      context.request_id);
  }
}

void UpstreamSender::ApplyDeparture(Delivery& delivery,
                                    const TargetStart& departed) {
  const RequestContext& context = delivery.context;
  const std::string& chosen = delivery.selected_target;
  services_.router->RecordDeparture(
      departed,
      Hash64(chosen) == departed.name_hash ? chosen : departed.Format(),
      context.request_id);
  if (context.forwarded()) {
    delivery.exchange.SetResponseField(kDepartedField, departed.Format());
  }
}

AttemptPlan UpstreamSender::PlanFor(const Delivery& delivery) const {
  const RequestContext& context = delivery.context;
  AttemptPlan plan;
  plan.header = admitter_.TargetHeader(context, delivery.exchange);
  plan.deadline = context.deadline;
  plan.collect = delivery.collect;
  plan.response_link = ResponseLink(context);
  plan.request_id = context.request_id;
  plan.runs_once = context.runs_once();
  plan.from_instance = context.forwarded();
  return plan;
}

Result<TargetLease> UpstreamSender::AcquireSlot(const Delivery& delivery,
                                                Reservation& reservation,
                                                const Yield& yield) {
  const RequestContext& context = delivery.context;
  SlotRequest wanted;
  wanted.service = context.service->name;
  wanted.workspace = context.workspace_name();
  wanted.weight = context.weight();
  wanted.deadline = context.deadline;
  wanted.affinity_key = context.route->affinity ? context.affinity_key : "";
  wanted.target = delivery.selected_target;
  if (!delivery.selected_target.empty()) {
    const WaitRequest wait = WaitRequestOf(context);
    wanted.start_by = Clock::now() + AllowedWait(wait);
    wanted.late = IsLate(wait);
  }
  wanted.waits = delivery.wait_for_slot || !delivery.selected_target.empty();
  if (delivery.selected_target.empty()) {
    wanted.exclude = delivery.tried_targets;
  }
  wanted.avoid_failure_domain = delivery.last_failure_domain;
  wanted.charge = [&reservation]() {
    return reservation.TryCharge(Clock::now());
  };
  Result<TargetLease> lease = services_.router->AcquireSlot(wanted, yield);
  if (!lease && lease.error().errc == Errc::kRateExceeded) {
    return reservation.Refuse(Clock::now());
  }
  return lease;
}

std::vector<Charge> UpstreamSender::WorkspaceCharges(
    const RequestContext& context) {
  if (context.workspace == nullptr) {
    return {};
  }
  return {
      {WorkspaceBudgetName(context.workspace->name), 1, Errc::kRateExceeded}};
}

std::vector<Charge> UpstreamSender::LocalCharges(
    const RequestContext& context) const {
  std::vector<Charge> charges = WorkspaceCharges(context);
  charges.push_back(
      {RegionBudgetName(services_.identity->region), 1, Errc::kRegionFull});
  const std::string response_link = ResponseLink(context);
  if (!response_link.empty()) {
    charges.push_back(
        {response_link, ResponseEstimate(context), Errc::kLinkFull});
  }
  return charges;
}

double UpstreamSender::ResponseEstimate(const RequestContext& context) {
  return std::min(
      kMaxLinkEstimate,
      kLinkHeaderBytes +
          static_cast<double>(context.route->expected_response_bytes));
}

std::string UpstreamSender::ResponseLink(const RequestContext& context) const {
  const std::string& own = services_.identity->region;
  return context.forwarded() && context.from_region != own
             ? LinkBudgetName(own, context.from_region)
             : "";
}

WaitRequest UpstreamSender::WaitRequestOf(const RequestContext& context) const {
  WaitRequest request;
  request.age = context.age();
  request.target_latency = context.route->target_latency;
  request.left = context.left();
  request.run = services_.router->TypicalRunTime(context.service->name);
  return request;
}

HopToken UpstreamSender::TokenFor(const Delivery& delivery,
                                  const Member& member) const {
  const RequestContext& context = delivery.context;
  const TimePoint now = Clock::now();
  HopToken token;
  token.to_process = member.process_id;
  token.from_region = services_.identity->region;
  token.workspace = context.workspace_name();
  token.key_id = context.key_id;
  token.request_id = context.request_id;
  token.remaining_ms =
      static_cast<uint32_t>(std::max<int64_t>(1, context.left().count()));
  token.age_ms = static_cast<uint32_t>(
      std::chrono::duration_cast<Milliseconds>(now - context.begun).count());
  token.required_target = delivery.selected_target;
  token.runs_once = context.runs_once();
  token.key_registered = context.key_registered || delivery.owns_key;
  if (context.host_route != nullptr) {
    token.host_route = context.host_route->route.name;
    token.service = context.service->name;
    token.target = context.target;
  }
  return token;
}

}  // namespace redwing
