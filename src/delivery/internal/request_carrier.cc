#include "delivery/internal/request_carrier.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "budget/budgets.h"
#include "config/steering_config.h"
#include "delivery/internal/header_rules.h"
#include "delivery/internal/request_body.h"
#include "delivery/internal/upstream_attempt.h"
#include "framework/http/http_exchange.h"
#include "framework/http/refusal.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"
#include "keys/key_ring.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/key_prefix.h"
#include "routing/target_router.h"

namespace redwing {

namespace {

constexpr int kMaxTries = 4;
constexpr size_t kIdlePerEndpoint = 64;
constexpr size_t kMaxKeyedBody = 1024 * 1024;  // bytes
// Added to the body sizes to estimate what a message takes on a link.
constexpr double kHeaderBytes = 512;
// What an estimate leaves out is paced as it is sent.
constexpr double kMaxLinkEstimate = 16 * 1024;  // bytes
constexpr Milliseconds kCloseIdleInterval{5'000};
constexpr Milliseconds kInProgressRetry{1'000};

// Failures after which another place may do better. Of these, the first group
// was refused before anything was sent.
constexpr std::array<Errc, 5> kRefusedBeforeSending = {
    Errc::kNoTarget, Errc::kQueueFull, Errc::kRegionFull, Errc::kLinkFull,
    Errc::kPeerUnreachable};
constexpr std::array<Errc, 6> kWorthAnotherTry = {
    Errc::kTargetShed,    Errc::kTargetUnreachable, Errc::kTargetBroken,
    Errc::kTargetTimeout, Errc::kNotReady,          Errc::kLeaving};

template <size_t kSize>
bool Contains(const std::array<Errc, kSize>& list, Errc errc) {
  return std::find(list.begin(), list.end(), errc) != list.end();
}

AttemptOutcome OutcomeOf(const Result<void>& result,
                         const UpstreamAttempt& attempt) {
  if (result && attempt.cut()) {
    return AttemptOutcome::kFailed;
  }
  if (result) {
    return attempt.server_error() ? AttemptOutcome::kErrorAnswer
                                  : AttemptOutcome::kAnswered;
  }
  switch (result.error().errc) {
    case Errc::kTargetShed:
      return AttemptOutcome::kShed;
    case Errc::kTargetUnreachable:
    case Errc::kTargetBroken:
    case Errc::kTargetTimeout:
      return AttemptOutcome::kFailed;
    default:
      return AttemptOutcome::kCancelled;
  }
}

uint64_t Fingerprint(const RequestContext& context,
                     std::string_view method,
                     std::string_view body) {
  return Hash64(fmt::format("{} {} {} {}", method, context.service->name,
                            context.target, Hash64(body)));
}

int64_t RemainingMs(TimePoint deadline) {
  return std::chrono::duration_cast<Milliseconds>(deadline - Clock::now())
      .count();
}

}  // namespace

RequestCarrier::RequestCarrier(boost::asio::io_context& io,
                               SocketRegistry& sockets,
                               Metrics& metrics,
                               CarrierServices services,
                               std::vector<std::string> secrets)
    : io_(io),
      metrics_(metrics),
      services_(std::move(services)),
      signer_(std::move(secrets)),
      admitter_(services_.identity,
                services_.config,
                services_.keys,
                services_.freshness,
                signer_),
      pool_(io, sockets, metrics, kIdlePerEndpoint),
      table_(Clock::now()),
      claims_(services_.store, services_.identity),
      random_(std::random_device{}()),
      close_idle_(io, kCloseIdleInterval, [this]() {
        pool_.CloseIdle(Clock::now());
      }) {}

void RequestCarrier::Start() {
  close_idle_.Start();
}

void RequestCarrier::Stop() {
  close_idle_.Stop();
}

void RequestCarrier::Carry(HttpExchange& exchange, const Yield& yield) {
  if (!exchange.Header(kHopField).empty()) {
    // By this the forwarding entry knows that an answer, or a refusal, is for
    // its own request.
    exchange.EchoField(kAttemptField);
  }
  const Result<RequestContext> context = admitter_.Admit(exchange);
  if (!context) {
    metrics_
        .Get("redwing_refused_total", "Requests refused, in requests",
             {{"error", ErrcName(context.error().errc)}})
        .Add();
    SendRefusal(exchange, context.error(), yield);
    return;
  }
  const Result<void> carried = CarryAdmitted(context.value(), exchange, yield);
  CountOutcome(context.value(), carried ? nullptr : &carried.error());
  if (!carried && !exchange.response_begun() && !exchange.broken()) {
    SendRefusal(exchange, carried.error(), yield);
  }
}

uint32_t RequestCarrier::key_epoch() const {
  return table_.Epoch(Clock::now());
}

Result<void> RequestCarrier::CarryAdmitted(const RequestContext& context,
                                           HttpExchange& exchange,
                                           const Yield& yield) {
  RequestBody body(exchange, context.route->max_request_bytes);
  const bool keyed = context.runs_once() && !context.idempotency_key.empty();
  const Result<void> read =
      body.Prefetch(keyed ? kMaxKeyedBody : RequestBody::kPrefetch, yield);
  if (!read) {
    return read.error();
  }
  retry_budget_.CountRequest();
  Delivery delivery(context, body, exchange);
  return keyed ? CarryKeyed(delivery, yield) : Deliver(delivery, yield);
}

Result<void> RequestCarrier::Deliver(Delivery& delivery, const Yield& yield) {
  Failure last =
      NotRun(Errc::kNoTarget, "no region serves this now", Milliseconds(1000));
  bool may_have_run = false;
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    const std::optional<std::string> region = ChooseRegion(delivery);
    if (!region) {
      break;
    }
    const Result<void> result = *region == services_.identity->region
                                    ? TryLocal(delivery, yield)
                                    : TryRegion(delivery, *region, yield);
    if (result) {
      return result;
    }
    last = result.error();
    may_have_run = may_have_run || last.verdict != Verdict::kNotRun;
    if (!MayTryAgain(delivery, last)) {
      break;
    }
    metrics_
        .Get("redwing_retries_total", "Further tries, in tries",
             {{"after", ErrcName(last.errc)}})
        .Add();
  }
  if (may_have_run && last.verdict == Verdict::kNotRun) {
    last.verdict = Verdict::kMayHaveRun;
  }
  return last;
}

bool RequestCarrier::MayTryAgain(const Delivery& delivery,
                                 const Failure& failure) {
  const bool safe =
      failure.verdict == Verdict::kNotRun || delivery.context.route->idempotent;
  if (!safe || !delivery.body.replayable() ||
      delivery.exchange.response_begun() || delivery.exchange.broken() ||
      Clock::now() >= delivery.context.deadline) {
    return false;
  }
  if (Contains(kRefusedBeforeSending, failure.errc)) {
    return true;
  }
  return Contains(kWorthAnotherTry, failure.errc) && retry_budget_.TrySpend();
}

std::optional<std::string> RequestCarrier::ChooseRegion(
    const Delivery& delivery) const {
  const std::string& own = services_.identity->region;
  const std::string& service = delivery.context.service->name;
  const bool own_left = delivery.tried_regions.count(own) == 0;
  if (own_left && (!delivery.context.may_forward() ||
                   services_.router->HasUsableTarget(service))) {
    return own;
  }
  if (!delivery.context.may_forward()) {
    return std::nullopt;
  }
  std::vector<std::string> regions;
  for (const std::string& region : services_.router->RegionsOf(service)) {
    const bool reachable = std::any_of(
        services_.membership->members().begin(),
        services_.membership->members().end(),
        [&region](const Membership::MemberMap::value_type& item) {
          return item.second.usable() && item.second.region == region;
        });
    if (reachable && region != own &&
        delivery.tried_regions.count(region) == 0) {
      regions.push_back(region);
    }
  }
  if (regions.empty()) {
    return std::nullopt;
  }
  // Spread by request, so that the other regions share what moves.
  return regions[Hash64(delivery.context.request_id) % regions.size()];
}

Result<void> RequestCarrier::TryLocal(Delivery& delivery, const Yield& yield) {
  const RequestContext& context = delivery.context;
  Result<TargetLease> lease = AcquireSlot(delivery, yield);
  if (!lease) {
    delivery.tried_regions.insert(services_.identity->region);
    return lease.error();
  }
  const Target& target = lease.value().state().target();
  delivery.tried_targets.insert(target.name);
  delivery.last_failure_domain = target.failure_domain;
  AttemptPlan plan;
  plan.endpoint = lease.value().state().endpoint();
  plan.header = admitter_.TargetHeader(context, delivery.exchange);
  plan.header.set(BeastView(kDeadlineField),
                  std::to_string(RemainingMs(context.deadline)));
  plan.deadline = context.deadline;
  plan.collect = delivery.collect;
  plan.response_link = ResponseLink(context);
  plan.response_prepaid = ResponseEstimate(context);
  UpstreamAttempt attempt(pool_, *services_.budgets, metrics_, std::move(plan));
  const Result<void> result =
      attempt.Run(delivery.body, delivery.exchange, yield);
  lease.value().SetOutcome(OutcomeOf(result, attempt));
  delivery.answer = std::move(attempt.answer());
  return result;
}

Result<TargetLease> RequestCarrier::AcquireSlot(const Delivery& delivery,
                                                const Yield& yield) {
  const RequestContext& context = delivery.context;
  Result<std::unique_ptr<Reservation>> reserved = services_.budgets->Reserve(
      LocalCharges(context), context.deadline, context.allow_stale());
  if (!reserved) {
    return reserved.error();
  }
  Reservation& reservation = *reserved.value();
  SlotRequest wanted;
  wanted.service = context.service->name;
  wanted.workspace = context.workspace_name();
  wanted.weight = context.weight();
  wanted.deadline = context.deadline;
  wanted.exclude = delivery.tried_targets;
  wanted.avoid_failure_domain = delivery.last_failure_domain;
  wanted.pay = [&reservation]() { return reservation.TryPay(); };
  Result<TargetLease> lease = services_.router->AcquireSlot(wanted, yield);
  if (!lease && lease.error().errc == Errc::kRateExceeded) {
    return reservation.Refuse();
  }
  return lease;
}

std::vector<Charge> RequestCarrier::WorkspaceCharges(
    const RequestContext& context) {
  if (context.workspace == nullptr) {
    return {};
  }
  return {
      {WorkspaceBudgetName(context.workspace->name), 1, Errc::kRateExceeded}};
}

std::vector<Charge> RequestCarrier::LocalCharges(
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

double RequestCarrier::ResponseEstimate(const RequestContext& context) {
  return std::min(kMaxLinkEstimate,
                  kHeaderBytes + static_cast<double>(
                                     context.route->expected_response_bytes));
}

std::string RequestCarrier::ResponseLink(const RequestContext& context) const {
  const std::string& own = services_.identity->region;
  return context.forwarded() && context.from_region != own
             ? LinkBudgetName(own, context.from_region)
             : "";
}

Result<void> RequestCarrier::TryRegion(Delivery& delivery,
                                       const std::string& region,
                                       const Yield& yield) {
  delivery.tried_regions.insert(region);
  const Member* const member = ChooseEntry(region);
  if (member == nullptr) {
    return NotRun(Errc::kPeerUnreachable, "no entry of the region is heard");
  }
  const Member chosen = *member;
  return SendToEntry(delivery, chosen, false, yield);
}

Result<void> RequestCarrier::SendToEntry(Delivery& delivery,
                                         const Member& member,
                                         bool owner_hop,
                                         const Yield& yield) {
  const RequestContext& context = delivery.context;
  const std::string& own = services_.identity->region;
  AttemptPlan plan;
  if (member.region != own) {
    plan.request_link = LinkBudgetName(own, member.region);
    const double estimate = std::min(
        kMaxLinkEstimate,
        kHeaderBytes + static_cast<double>(delivery.body.held().size()));
    const Result<void> admitted = services_.budgets->Acquire(
        {plan.request_link, estimate, Errc::kLinkFull}, context.deadline,
        context.allow_stale(), yield);
    plan.request_prepaid = estimate - kHeaderBytes;
    if (!admitted) {
      return admitted;
    }
  }
  HopToken token;
  token.to_process = member.process_id;
  token.from_region = own;
  token.workspace = context.workspace_name();
  token.key_id = context.key_id;
  token.request_id = context.request_id;
  token.remaining_ms = static_cast<uint32_t>(
      std::max<int64_t>(1, RemainingMs(context.deadline)));
  token.owner_hop = owner_hop;
  const std::string target = fmt::format("{}{}{}", RequestHandler::kPathPrefix,
                                         context.service->name, context.target);
  token.request_line = fmt::format("{} {}", delivery.exchange.method(), target);
  plan.endpoint = TcpEndpoint(member.http_address);
  plan.header = admitter_.TargetHeader(context, delivery.exchange);
  plan.header.target(target);
  plan.header.set(BeastView(kHopField), signer_.Sign(token));
  plan.deadline = context.deadline;
  plan.to_entry = true;
  plan.response_link = ResponseLink(context);
  plan.collect = delivery.collect;
  UpstreamAttempt attempt(pool_, *services_.budgets, metrics_, std::move(plan));
  const Result<void> result =
      attempt.Run(delivery.body, delivery.exchange, yield);
  delivery.answer = std::move(attempt.answer());
  return result;
}

const Member* RequestCarrier::ChooseEntry(const std::string& region) {
  std::vector<const Member*> entries;
  for (const auto& [name, member] : services_.membership->members()) {
    if (member.usable() && member.region == region) {
      entries.push_back(&member);
    }
  }
  if (entries.empty()) {
    return nullptr;
  }
  return entries[std::uniform_int_distribution<size_t>(
      0, entries.size() - 1)(random_)];
}

Result<void> RequestCarrier::CarryKeyed(Delivery& delivery,
                                        const Yield& yield) {
  const RequestContext& context = delivery.context;
  if (!delivery.body.whole()) {
    return NotRun(Errc::kBodyTooLarge,
                  "a request with an idempotency key takes at most 1 MB");
  }
  if (context.owner_hop) {
    return RunOwned(delivery, yield);
  }
  const std::optional<BoundKey> bound = ParseBoundKey(context.idempotency_key);
  std::string owner;
  if (bound) {
    owner = bound->process_id;
  } else {
    // What the rate refuses is not to cost the store a write.
    const Result<std::unique_ptr<Reservation>> within_rate =
        services_.budgets->Reserve(WorkspaceCharges(context), context.deadline,
                                   context.allow_stale());
    if (!within_rate) {
      return within_rate.error();
    }
    const Result<std::string> claimed = claims_.Claim(
        context.workspace_name() + "/" + context.idempotency_key, yield);
    if (!claimed) {
      return claimed.error();
    }
    owner = claimed.value();
  }
  if (owner == services_.identity->process_id) {
    return RunOwned(delivery, yield);
  }
  return SendToOwner(delivery, owner, yield);
}

Result<void> RequestCarrier::RunOwned(Delivery& delivery, const Yield& yield) {
  const RequestContext& context = delivery.context;
  const TimePoint now = Clock::now();
  const std::optional<BoundKey> bound = ParseBoundKey(context.idempotency_key);
  if (bound && (bound->process_id != services_.identity->process_id ||
                !table_.Accepts(bound->epoch, now))) {
    return MayHaveRun(Errc::kIdempotencyOutcomeUnknown,
                      "the key is no longer remembered");
  }
  const std::string key =
      context.workspace_name() + "/" + context.idempotency_key;
  const Result<std::optional<KeyRecordEntry>> known = table_.Begin(
      key,
      Fingerprint(context, delivery.exchange.method(), delivery.body.held()),
      now);
  if (!known) {
    return known.error();
  }
  if (known.value()) {
    const KeyRecordEntry& entry = *known.value();
    if (entry.state == KeyState::kAnswered) {
      delivery.exchange.Respond(entry.answer->header, entry.answer->body,
                                yield);
      return boost::outcome_v2::success();
    }
    if (entry.state == KeyState::kRunning) {
      Failure failure = MayHaveRun(Errc::kIdempotencyInProgress,
                                   "the first request with the key runs");
      failure.retry_after = kInProgressRetry;
      return failure;
    }
    return MayHaveRun(Errc::kIdempotencyOutcomeUnknown,
                      "the request with the key may have run");
  }
  delivery.collect = true;
  const Result<void> result = Deliver(delivery, yield);
  if (!result) {
    if (result.error().verdict == Verdict::kNotRun) {
      table_.Forget(key);
    } else {
      table_.MarkUnknown(key);
    }
    return result;
  }
  if (!delivery.answer) {
    // It was handed on as it came: too large to be kept, or from an entry of
    // another region.
    table_.MarkUnknown(key);
    return result;
  }
  const StoredAnswer answer = *delivery.answer;
  table_.Store(key, answer);
  const std::string link = ResponseLink(context);
  if (!link.empty()) {
    services_.budgets->Pace(
        link, kHeaderBytes + static_cast<double>(answer.body.size()),
        context.deadline, yield);
  }
  delivery.exchange.Respond(answer.header, answer.body, yield);
  return result;
}

Result<void> RequestCarrier::SendToOwner(Delivery& delivery,
                                         const std::string& process_id,
                                         const Yield& yield) {
  for (const auto& [name, member] : services_.membership->members()) {
    const bool reachable = member.state == MemberState::kAlive ||
                           member.state == MemberState::kLeaving;
    if (member.process_id != process_id || !reachable) {
      continue;
    }
    const Member owner = member;
    Result<void> result = SendToEntry(delivery, owner, true, yield);
    if (!result && result.error().errc == Errc::kTargetUnreachable) {
      break;
    }
    return result;
  }
  // An earlier request with the key may have reached the owner.
  return MayHaveRun(Errc::kIdempotencyOutcomeUnknown,
                    "the process that the key is bound to cannot be reached");
}

void RequestCarrier::CountOutcome(const RequestContext& context,
                                  const Failure* failure) {
  if (failure == nullptr) {
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
