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
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"
#include "keys/key_ring.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/key_prefix.h"
#include "routing/placement.h"
#include "routing/target_router.h"

namespace redwing {

namespace {

constexpr unsigned kFirstServerError = 500;
// Leaders that may refuse a request before its caller is refused.
constexpr int kMaxPlaceRefusals = 3;
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
constexpr std::array<Errc, 7> kWorthAnotherTry = {
    Errc::kTargetShed,   Errc::kTargetMoved,   Errc::kTargetUnreachable,
    Errc::kTargetBroken, Errc::kTargetTimeout, Errc::kNotReady,
    Errc::kLeaving};

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
    case Errc::kTargetMoved:
      return AttemptOutcome::kMoved;
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
                               std::vector<std::string> secrets,
                               DeliveryOptions options)
    : io_(io),
      metrics_(metrics),
      services_(std::move(services)),
      signer_(std::move(secrets)),
      options_(std::move(options)),
      admitter_(services_.identity,
                services_.config,
                services_.keys,
                services_.freshness,
                signer_,
                options_.dialect),
      pool_(io, sockets, metrics, kIdlePerEndpoint),
      table_(Clock::now()),
      claims_(services_.store, services_.identity),
      retry_budget_(options_.retries),
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
  CarryAddressed(exchange, Addressing::kByService, yield);
}

void RequestCarrier::CarryByHost(HttpExchange& exchange, const Yield& yield) {
  CarryAddressed(exchange, Addressing::kByHost, yield);
}

void RequestCarrier::CarryAddressed(HttpExchange& exchange,
                                    Addressing addressing,
                                    const Yield& yield) {
  const double point = std::uniform_real_distribution<double>()(random_);
  const Result<RequestContext> context =
      admitter_.Admit(exchange, addressing, point);
  if (!context) {
    metrics_
        .Get("redwing_refused_total", "Requests refused, in requests",
             {{"error", ErrcName(context.error().errc)}})
        .Add();
    spdlog::info("request {} is not admitted: {} ({})",
                 exchange.Header(options_.dialect.request_id),
                 ErrcName(context.error().errc), context.error().detail);
    SendRefusal(exchange, context.error(), yield);
    return;
  }
  const Result<void> carried = CarryAdmitted(context.value(), exchange, yield);
  CountOutcome(context.value(), carried ? nullptr : &carried.error());
  if (!carried && carried.error().errc == Errc::kCallerGone) {
    exchange.Break();
  } else if (!carried && !exchange.response_begun() && !exchange.broken()) {
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
  if (keyed) {
    const Result<void> result = CarryKeyed(delivery, yield);
    LogOutcome(delivery, result ? nullptr : &result.error());
    return result;
  }
  delivery.collect =
      options_.hold_answers && exchange.request().method() != http::verb::head;
  delivery.cancellable = body.whole();
  if (delivery.cancellable) {
    exchange.WatchCaller([&delivery]() { delivery.cancellation.Cancel(); });
  }
  const Result<void> result = Deliver(delivery, yield);
  exchange.EndWatch();
  LogOutcome(delivery, result ? nullptr : &result.error());
  if (result && delivery.answer) {
    exchange.Respond(delivery.answer->header, delivery.answer->body, yield);
  }
  return result;
}

Result<void> RequestCarrier::Deliver(Delivery& delivery, const Yield& yield) {
  Failure last =
      NotRun(Errc::kNoTarget, "no region serves this now", Milliseconds(1000));
  bool may_have_run = false;
  std::optional<StoredAnswer> fallback;
  while (true) {
    const Result<void> result = TryNext(delivery, yield);
    if (delivery.exhausted) {
      if (delivery.chosen_target.empty()) {
        last = result.error();
      }
      break;
    }
    if (result && MayReplace(delivery)) {
      fallback = std::move(delivery.answer);
      delivery.answer.reset();
      continue;
    }
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
  if (fallback && !delivery.cancellation.cancelled()) {
    delivery.answer = std::move(fallback);
    return boost::outcome_v2::success();
  }
  if (may_have_run && last.verdict == Verdict::kNotRun) {
    last.verdict = Verdict::kMayHaveRun;
  }
  if (last.errc == Errc::kQueueFull && options_.led_targets &&
      !delivery.context.forwarded()) {
    last.retry_after =
        RetryAfter(last.retry_after, delivery.context.deadline - Clock::now(),
                   std::uniform_real_distribution<double>()(random_));
  }
  return last;
}

Result<void> RequestCarrier::TryNext(Delivery& delivery, const Yield& yield) {
  if (options_.led_targets) {
    return TryNextPlace(delivery, yield);
  }
  const std::optional<std::string> region = ChooseRegion(delivery);
  if (!region) {
    delivery.exhausted = true;
    return NotRun(Errc::kNoTarget, "no region is left");
  }
  return TryOnce(delivery, *region, yield);
}

Result<void> RequestCarrier::TryNextPlace(Delivery& delivery,
                                          const Yield& yield) {
  const RequestContext& context = delivery.context;
  if (context.forwarded()) {
    // Its target was chosen by the entry that the caller uses.
    delivery.exhausted = !delivery.chosen_target.empty();
    delivery.chosen_target = context.wanted_target;
    return delivery.exhausted ? NotRun(Errc::kNoTarget, "the target was tried")
                              : TryLocal(delivery, yield);
  }
  PlaceRequest wanted;
  wanted.service = context.service->name;
  wanted.affinity_key = context.route->affinity && !context.affinity_key.empty()
                            ? context.affinity_key
                            : context.request_id;
  wanted.tried_targets = delivery.tried_targets;
  wanted.may_run_in = [&context](const std::string& region) {
    return context.MayRunIn(region);
  };
  wanted.max_wait = AllowedWait(WaitRequestOf(context));
  const Result<Place> found = services_.placement->FindPlace(wanted);
  if (!found || delivery.refusals >= kMaxPlaceRefusals) {
    delivery.exhausted = true;
    return found ? NotRun(Errc::kQueueFull, "too many targets had no slot")
                 : found.error();
  }
  const Place& place = found.value();
  delivery.tried_targets.insert(place.target);
  delivery.chosen_target = place.target;
  const Result<void> result = place.leader.empty()
                                  ? TryLocal(delivery, yield)
                                  : TryLeader(delivery, place, yield);
  if (!result && Contains(kRefusedBeforeSending, result.error().errc)) {
    ++delivery.refusals;
  }
  return result;
}

Result<void> RequestCarrier::TryLeader(Delivery& delivery,
                                       const Place& place,
                                       const Yield& yield) {
  const Member* const member = services_.membership->Find(place.leader);
  if (member == nullptr) {
    return NotRun(Errc::kPeerUnreachable, "the target's leader is gone");
  }
  const Member leader = *member;
  if (IsAbandoned(delivery)) {
    return NotRun(Errc::kCallerGone, "caller is gone");
  }
  services_.placement->BeginForward(place);
  delivery.connect_time.reset();
  const Result<void> result = SendToEntry(delivery, leader, false, yield);
  services_.placement->EndForward(place, delivery.connect_time);
  return result;
}

Result<void> RequestCarrier::TryOnce(Delivery& delivery,
                                     const std::string& region,
                                     const Yield& yield) {
  return region == services_.identity->region
             ? TryLocal(delivery, yield)
             : TryRegion(delivery, region, yield);
}

bool RequestCarrier::IsAbandoned(const Delivery& delivery) {
  return delivery.cancellation.cancelled() ||
         (delivery.cancellable && delivery.exchange.CallerHasLeft());
}

bool RequestCarrier::CanRepeat(const Delivery& delivery) {
  return delivery.body.replayable() && !delivery.exchange.response_begun() &&
         !delivery.exchange.broken() && !delivery.cancellation.cancelled() &&
         delivery.sent < delivery.context.max_attempts &&
         Clock::now() < delivery.context.deadline;
}

bool RequestCarrier::MayReplace(const Delivery& delivery) {
  return delivery.answer &&
         delivery.answer->header.result_int() >= kFirstServerError &&
         delivery.context.route->idempotent && CanRepeat(delivery) &&
         retry_budget_.TrySpend();
}

bool RequestCarrier::MayTryAgain(const Delivery& delivery,
                                 const Failure& failure) {
  const bool safe =
      failure.verdict == Verdict::kNotRun || delivery.context.route->idempotent;
  if (!safe || !CanRepeat(delivery)) {
    return false;
  }
  if (Contains(kRefusedBeforeSending, failure.errc)) {
    return true;
  }
  return Contains(kWorthAnotherTry, failure.errc) && retry_budget_.TrySpend();
}

std::optional<std::string> RequestCarrier::ChooseRegion(
    Delivery& delivery) const {
  const RequestContext& context = delivery.context;
  const std::string& own = services_.identity->region;
  const std::string& service = context.service->name;
  const bool own_allowed = context.MayRunIn(own);
  const bool own_left = own_allowed && delivery.tried_regions.count(own) == 0;
  if (own_left &&
      (!context.may_forward() || services_.router->HasUsableTarget(service))) {
    return own;
  }
  if (!context.may_forward()) {
    return std::nullopt;
  }
  const std::vector<std::string> regions = OtherRegions(delivery);
  if (!regions.empty()) {
    // Spread by request, so that the other regions share what moves.
    return regions[Hash64(context.request_id) % regions.size()];
  }
  if (!own_allowed || delivery.patient ||
      !services_.router->HasUsableTarget(service)) {
    return std::nullopt;
  }
  // No region has a free slot: wait for one here.
  delivery.patient = true;
  return own;
}

std::vector<std::string> RequestCarrier::OtherRegions(
    const Delivery& delivery) const {
  std::vector<std::string> regions;
  for (const std::string& region :
       services_.router->RegionsOf(delivery.context.service->name)) {
    const bool reachable = std::any_of(
        services_.membership->members().begin(),
        services_.membership->members().end(),
        [&region](const Membership::MemberMap::value_type& item) {
          return item.second.usable() && item.second.region == region;
        });
    if (reachable && region != services_.identity->region &&
        delivery.context.MayRunIn(region) &&
        delivery.tried_regions.count(region) == 0) {
      regions.push_back(region);
    }
  }
  return regions;
}

AttemptPlan RequestCarrier::PlanFor(const Delivery& delivery) const {
  const RequestContext& context = delivery.context;
  AttemptPlan plan;
  plan.header = admitter_.TargetHeader(context, delivery.exchange);
  plan.deadline = context.deadline;
  plan.collect = delivery.collect;
  plan.response_link = ResponseLink(context);
  plan.request_id = context.request_id;
  plan.runs_once = context.runs_once();
  return plan;
}

Result<void> RequestCarrier::TryLocal(Delivery& delivery, const Yield& yield) {
  const RequestContext& context = delivery.context;
  Result<TargetLease> lease = AcquireSlot(delivery, yield);
  if (!lease) {
    delivery.tried_regions.insert(services_.identity->region);
    return lease.error();
  }
  if (IsAbandoned(delivery)) {
    lease.value().SetOutcome(AttemptOutcome::kCancelled);
    return NotRun(Errc::kCallerGone, "caller is gone");
  }
  const Target& target = lease.value().state().target();
  delivery.tried_targets.insert(target.name);
  delivery.last_failure_domain = target.failure_domain;
  ++delivery.sent;
  AttemptPlan plan = PlanFor(delivery);
  plan.endpoint = lease.value().state().endpoint();
  plan.header.set(BeastView(options_.dialect.target_deadline),
                  std::to_string(RemainingMs(context.deadline)));
  if (!options_.dialect.target_instance.empty()) {
    plan.header.set(BeastView(options_.dialect.target_instance), target.name);
  }
  plan.response_prepaid = ResponseEstimate(context);
  UpstreamAttempt attempt(pool_, *services_.budgets, metrics_, options_.dialect,
                          std::move(plan));
  const TimePoint begun = Clock::now();
  const Result<void> result = attempt.Run(delivery.body, delivery.exchange,
                                          delivery.cancellation, yield);
  spdlog::info(
      "attempt {} of request {} at target {}: {}, {} ms, key {}, load {}",
      delivery.sent, context.request_id, target.name,
      result ? "answered" : ErrcName(result.error().errc),
      std::chrono::duration_cast<Milliseconds>(Clock::now() - begun).count(),
      context.affinity_key,
      attempt.load() ? fmt::format("{}+{}", attempt.load()->running,
                                   attempt.load()->waiting)
                     : "unknown");
  if (attempt.load()) {
    lease.value().SetLoad(*attempt.load());
  }
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
  wanted.affinity_key = context.route->affinity ? context.affinity_key : "";
  wanted.target = delivery.chosen_target;
  if (!delivery.chosen_target.empty()) {
    wanted.start_by = Clock::now() + AllowedWait(WaitRequestOf(context));
  }
  wanted.waits = delivery.patient || !delivery.chosen_target.empty();
  if (delivery.chosen_target.empty()) {
    wanted.exclude = delivery.tried_targets;
  }
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
  AttemptPlan plan = PlanFor(delivery);
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
  HopToken token = TokenFor(delivery, member);
  token.owner_hop = owner_hop;
  const std::string target = fmt::format("{}{}{}", RequestHandler::kPathPrefix,
                                         context.service->name, context.target);
  token.request_line = fmt::format("{} {}", delivery.exchange.method(), target);
  plan.endpoint = TcpEndpoint(member.http_address);
  plan.header.target(target);
  plan.header.set(BeastView(kHopField), signer_.Sign(token));
  plan.to_entry = true;
  UpstreamAttempt attempt(pool_, *services_.budgets, metrics_, options_.dialect,
                          std::move(plan));
  const Result<void> result = attempt.Run(delivery.body, delivery.exchange,
                                          delivery.cancellation, yield);
  delivery.connect_time = attempt.connect_time();
  if (result || !Contains(kRefusedBeforeSending, result.error().errc)) {
    ++delivery.sent;
  }
  delivery.answer = std::move(attempt.answer());
  return result;
}

WaitRequest RequestCarrier::WaitRequestOf(const RequestContext& context) const {
  WaitRequest request;
  request.age =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - context.begun);
  request.target_latency = context.route->target_latency;
  request.left = Milliseconds(RemainingMs(context.deadline));
  request.run = services_.router->TypicalRun(context.service->name);
  return request;
}

HopToken RequestCarrier::TokenFor(const Delivery& delivery,
                                  const Member& member) const {
  const RequestContext& context = delivery.context;
  const TimePoint now = Clock::now();
  HopToken token;
  token.to_process = member.process_id;
  token.from_region = services_.identity->region;
  token.workspace = context.workspace_name();
  token.key_id = context.key_id;
  token.request_id = context.request_id;
  token.remaining_ms = static_cast<uint32_t>(
      std::max<int64_t>(1, RemainingMs(context.deadline)));
  token.age_ms = static_cast<uint32_t>(
      std::chrono::duration_cast<Milliseconds>(now - context.begun).count());
  token.wanted_target = delivery.chosen_target;
  if (context.host_route != nullptr) {
    token.host_route = context.host_route->route.name;
    token.service = context.service->name;
    token.target = context.target;
  }
  return token;
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

void RequestCarrier::LogOutcome(const Delivery& delivery,
                                const Failure* failure) {
  const RequestContext& context = delivery.context;
  spdlog::info(
      "request {} route {} service {} workspace {} {}: {}, sent {}, {} ms, {} "
      "ms left{}{}",
      context.request_id, context.route->name, context.service->name,
      context.workspace_name(),
      context.forwarded() ? "from " + context.from_region : "own",
      failure == nullptr ? "answered" : ErrcName(failure->errc), delivery.sent,
      std::chrono::duration_cast<Milliseconds>(Clock::now() - context.begun)
          .count(),
      RemainingMs(context.deadline), failure == nullptr ? "" : ": ",
      failure == nullptr ? "" : failure->detail);
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
