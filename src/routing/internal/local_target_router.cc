#include "routing/internal/local_target_router.h"

#include <algorithm>
#include <utility>

#include "config/steering_config.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/internal/target_leaders.h"

namespace redwing {

namespace {
// Peers' finished requests and new tokens are not signalled, but polled.
constexpr Milliseconds kWakeInterval{5};
constexpr char kBackoffReason[] = "the target asked for a backoff";
}  // namespace

LocalTargetRouter::LocalTargetRouter(boost::asio::io_context& io,
                                     SocketRegistry& sockets,
                                     Metrics& metrics,
                                     std::shared_ptr<Identity> identity,
                                     std::unique_ptr<TargetChoice> choice,
                                     TargetRouterOptions options)
    : io_(io),
      metrics_(metrics),
      identity_(std::move(identity)),
      choice_(std::move(choice)),
      options_(options),
      notices_(metrics),
      random_(std::random_device{}()),
      wake_(io, kWakeInterval, [this]() { ServeAllWaiters(); }),
      links_(io, sockets, metrics),
      health_(io, sockets) {}

LocalTargetRouter::~LocalTargetRouter() = default;

void LocalTargetRouter::Attach(std::shared_ptr<Membership> membership,
                               std::shared_ptr<SteeringConfig> config,
                               std::shared_ptr<TargetLeaders> leaders) {
  membership_ = std::move(membership);
  config_ = std::move(config);
  leaders_ = std::move(leaders);
  rate_share_ = TargetRateShare(identity_, membership_, leaders_);
  notices_.Attach(config_);
  config_->on_change().Subscribe([this]() { ApplyConfig(); });
  membership_->AddHeartbeatSource(
      [this](Heartbeat& heartbeat) { AnnounceNotices(&heartbeat); });
  membership_->on_change().Subscribe(
      [this](const Member& /*member*/) { rate_shares_stale_ = true; });
  if (!options_.led_targets) {
    membership_->AddHeartbeatSource([this](Heartbeat& heartbeat) {
      for (const auto& [name, pool] : pools_) {
        for (const StatePtr& state : pool.targets) {
          if (state->outstanding() > 0) {
            heartbeat.work.push_back(
                {state->hash(), static_cast<uint16_t>(state->outstanding())});
          }
        }
      }
    });
  }
  membership_->on_heartbeat().Subscribe(
      [this](const Member& member, const Heartbeat& heartbeat) {
        ApplyPeerLoad(member, heartbeat);
        if (notices_.RecordFromPeer(heartbeat.departed, member.name,
                                    Clock::now())) {
          CloseDeparted();
        }
        if (notices_.RecordRateLimitsFromPeer(heartbeat.rate_limits,
                                              member.name, Clock::now())) {
          ApplyRateLimits();
        }
      });
}

void LocalTargetRouter::Start() {
  links_.Start([this]() { return OpenEndpoints(pools_); },
               [this]() { ApplyLinks(); });
  if (options_.polls_health) {
    health_.Start([this]() { return AllStates(pools_); });
  }
}

void LocalTargetRouter::Stop() {
  wake_.Stop();
  links_.Stop();
  health_.Stop();
}

Result<TargetLease> LocalTargetRouter::AcquireSlot(const SlotRequest& request,
                                                   const Yield& yield) {
  if (!links_.up()) {
    return LinkChecker::LostFailure();
  }
  UpdateRateShares();
  const auto found = pools_.find(request.service);
  const TimePoint now = Clock::now();
  const Milliseconds backoff =
      found == pools_.end() ? Milliseconds(0)
                            : found->second.BackoffLeft(request.target, now);
  if (backoff > Milliseconds(0)) {
    return NotRun(Errc::kTargetBackoff, kBackoffReason, backoff);
  }
  if (found == pools_.end() || !HasUsableTarget(request.service)) {
    return NotRun(Errc::kNoTarget, "no usable target", Milliseconds(1000));
  }
  TargetPool& pool = found->second;
  const FairQueue::WaiterPtr waiter =
      std::make_shared<SlotWaiter>(io_, request, now);
  if (!request.target.empty()) {
    // Requests for different targets do not wait for each other.
    waiter->request.workspace += "/" + request.target;
  }
  if (!pool.queue.Push(waiter)) {
    return NotRun(Errc::kQueueFull, "workspace queue full", Milliseconds(1000));
  }
  ServeWaiters(pool, now);
  if (waiter->granted) {
    return MakeLease(waiter->granted, request);
  }
  if (!request.target.empty() && !waiter->lacks_tokens) {
    const Milliseconds wait = ExpectedWait(pool, request.target);
    if (now + wait > request.start_by) {
      pool.queue.Remove(waiter);
      return NotRun(Errc::kQueueFull, "no slot becomes free in time", wait);
    }
  }
  if (!request.waits && !waiter->lacks_tokens) {
    pool.queue.Remove(waiter);
    return NotRun(Errc::kQueueFull, "no slot is free", Milliseconds(1000));
  }
  return WaitForSlot(pool, waiter, yield);
}

void LocalTargetRouter::RecordDeparture(const TargetStart& target,
                                        std::string_view name,
                                        std::string_view request_id) {
  if (notices_.RecordDeparture(target, name, request_id, Clock::now())) {
    CloseDeparted();
    membership_->SendHeartbeatToSample();
  }
}

void LocalTargetRouter::RecordBackoff(const Target& target,
                                      Milliseconds asked,
                                      std::string_view request_id) {
  const TimePoint now = Clock::now();
  const TimePoint end = notices_.RecordBackoff(
      {target.name, target.started_at}, target.name, asked, request_id, now);
  for (const auto& [name, pool] : pools_) {
    const StatePtr state = pool.Find(target);
    if (state) {
      state->SetBackoff(end);
      pool.RejectWaiters(now);
    }
  }
}

void LocalTargetRouter::RecordRateLimit(const Target& target,
                                        double rate,
                                        std::string_view request_id) {
  if (notices_.RecordRateLimit({target.name, target.started_at}, target.name,
                               rate, request_id, Clock::now())) {
    ApplyRateLimits();
    membership_->SendHeartbeatToSample();
  }
}

void LocalTargetRouter::ApplyRateLimits() {
  const TimePoint now = Clock::now();
  for (const StatePtr& state : AllStates(pools_)) {
    state->SetRateLimit(notices_.RateLimitOf(state->target()), now);
  }
}

void LocalTargetRouter::UpdateRateShares() {
  if (!std::exchange(rate_shares_stale_, false)) {
    return;
  }
  const TimePoint now = Clock::now();
  for (const StatePtr& state : AllStates(pools_)) {
    state->SetRateShare(rate_share_.FractionFor(state->target()), now);
  }
}

void LocalTargetRouter::AnnounceNotices(Heartbeat* heartbeat) {
  const TimePoint now = Clock::now();
  notices_.Announce(heartbeat, now);
  heartbeat->reaches_targets = links_.up();
  for (TargetRateReport& report : heartbeat->rate_limits) {
    const StatePtr state = Find(pools_, report.target);
    if (state) {
      report.wait_ms =
          static_cast<uint32_t>(RateLimitWait(*state, now).count());
    }
  }
}

Milliseconds LocalTargetRouter::RateLimitWait(const TargetState& state,
                                              TimePoint now) const {
  return state.RateLimitWait(WaitingFor(state.target().name), now);
}

void LocalTargetRouter::ApplyLinks() {
  for (const auto& [name, pool] : pools_) {
    pool.ForgetFailures();
    if (!links_.up()) {
      pool.RejectAllWaiters();
    }
  }
  if (leaders_) {
    leaders_->SetMayLead(links_.up());
  }
  rate_shares_stale_ = true;
  on_change_.Notify();
  membership_->SendHeartbeatToAll();
}

void LocalTargetRouter::CloseDeparted() {
  const TimePoint now = Clock::now();
  for (auto& [name, pool] : pools_) {
    for (const StatePtr& state : pool.targets) {
      if (IsClosed(state->target())) {
        state->SetClosed(true, now);
      }
    }
    pool.RejectWaiters(now);
  }
  on_change_.Notify();
}

bool LocalTargetRouter::HasUsableTarget(std::string_view service) const {
  const auto pool = pools_.find(service);
  return links_.up() && pool != pools_.end() &&
         pool->second.HasUsable(Clock::now());
}

Milliseconds LocalTargetRouter::TypicalRunTime(
    const std::string& service) const {
  return Milliseconds(static_cast<int64_t>(TimesOf(service).warm_ms()));
}

std::vector<std::string> LocalTargetRouter::RegionsOf(
    std::string_view service) const {
  std::set<std::string> regions;
  const std::shared_ptr<const SteeringDocument> document = config_->document();
  const Service* const found = document->FindService(service);
  if (found != nullptr) {
    for (const Target& target : found->targets) {
      if (!IsClosed(target)) {
        regions.insert(target.region);
      }
    }
  }
  return {regions.begin(), regions.end()};
}

uint16_t LocalTargetRouter::LoadPermille() const {
  return redwing::LoadPermille(pools_, Clock::now());
}

std::vector<TargetStatus> LocalTargetRouter::Status() const {
  return StatusOf(pools_, Clock::now());
}

const TargetState* LocalTargetRouter::FindTarget(const Target& target) const {
  return Find(pools_, target).get();
}

Milliseconds LocalTargetRouter::ExpectedWait(const TargetPool& pool,
                                             const std::string& target) const {
  const StatePtr state = pool.Find(target);
  if (!state) {
    return Milliseconds::max();
  }
  const double ahead =
      state->outstanding() + WaitingFor(target) + 1 - state->target().slots;
  const double run = state->slowness() * pool.times.warm_ms();
  const Milliseconds slot_wait(
      static_cast<int64_t>(std::max(0.0, ahead) / state->target().slots * run));
  return std::max(slot_wait, RateLimitWait(*state, Clock::now()));
}

int LocalTargetRouter::WaitingFor(const std::string& target) const {
  const auto waiting = waiting_for_.find(target);
  return waiting == waiting_for_.end() ? 0 : waiting->second;
}

ServiceTimes LocalTargetRouter::TimesOf(const std::string& service) const {
  const auto pool = pools_.find(service);
  return pool == pools_.end() ? ServiceTimes() : pool->second.times;
}

void LocalTargetRouter::ReportTargets(
    const std::function<bool(const Target&)>& is_own,
    Heartbeat* heartbeat) const {
  const TimePoint now = Clock::now();
  for (const auto& [name, pool] : pools_) {
    for (const StatePtr& state : pool.targets) {
      if (!is_own(state->target()) && state->outstanding() == 0) {
        continue;
      }
      heartbeat->work.push_back(
          ReportOf(*state, WaitingFor(state->target().name), now));
    }
  }
}

void LocalTargetRouter::ApplyConfig() {
  const std::shared_ptr<const SteeringDocument> document = config_->document();
  const TimePoint now = Clock::now();
  notices_.ApplyListing(now);
  CloseRemovedServices(*document, now, &pools_);
  for (const auto& [name, service] : document->services()) {
    TargetPool& pool =
        pools_.try_emplace(name, options_.queue_per_workspace).first->second;
    for (const Target& target : service.targets) {
      if (target.region != identity_->region) {
        continue;
      }
      const StatePtr state = pool.Update(target, now);
      state->SetWarmUp(service.warm_up, service.warm_up_rate, now);
      state->SetRateLimit(notices_.RateLimitOf(target), now);
      state->SetClosed(IsClosed(target), now);
      state->SetBackoff(notices_.BackoffEnd(target));
    }
    pool.KeepListed(service.targets);
  }
  rate_shares_stale_ = true;
}

void LocalTargetRouter::ApplyPeerLoad(const Member& member,
                                      const Heartbeat& heartbeat) {
  if (member.region != identity_->region) {
    return;
  }
  const TimePoint now = Clock::now();
  for (auto& [name, pool] : pools_) {
    pool.ApplyPeerLoad(member.name, heartbeat.work, now);
  }
}

std::shared_ptr<TargetState> LocalTargetRouter::TryChoose(
    TargetPool& pool,
    const SlotRequest& request,
    TimePoint now) {
  const std::vector<TargetState*> candidates = pool.Candidates(request, now);
  if (candidates.empty()) {
    return nullptr;
  }
  const TargetState* const chosen =
      choice_->Choose(candidates, request, now, random_);
  return *std::find_if(
      pool.targets.begin(), pool.targets.end(),
      [chosen](const StatePtr& state) { return state.get() == chosen; });
}

Result<TargetLease> LocalTargetRouter::WaitForSlot(
    TargetPool& pool,
    const FairQueue::WaiterPtr& waiter,
    const Yield& yield) {
  if (!waking_) {
    waking_ = true;
    wake_.Start();
  }
  waiter->timer.expires_at(
      std::min<TimePoint>({waiter->request.deadline, waiter->request.start_by,
                           waiter->since + options_.max_wait}));
  boost::system::error_code ignored;
  const std::string& target = waiter->request.target;
  ++waiting_for_[target];
  waiter->timer.async_wait(yield[ignored]);
  --waiting_for_[target];
  if (waiter->granted) {
    return MakeLease(waiter->granted, waiter->request);
  }
  pool.queue.Remove(waiter);
  if (waiter->rejected && !links_.up()) {
    return LinkChecker::LostFailure();
  }
  if (waiter->rejected) {
    const Milliseconds backoff = pool.BackoffLeft(target, Clock::now());
    return backoff > Milliseconds(0)
               ? NotRun(Errc::kTargetBackoff, kBackoffReason, backoff)
               : NotRun(Errc::kNoTarget, "the target is leaving",
                        Milliseconds(1000));
  }
  if (waiter->lacks_tokens) {
    return NotRun(Errc::kRateExceeded, "no tokens available in time");
  }
  metrics_
      .Get("redwing_slot_wait_expired_total",
           "Requests that got no slot in time, in requests")
      .Add();
  return Clock::now() >= waiter->request.deadline
             ? NotRun(Errc::kDeadlinePassed, "no slot before the deadline")
             : NotRun(Errc::kQueueFull, "no slot became free in time",
                      Milliseconds(1000));
}

TargetLease LocalTargetRouter::MakeLease(const StatePtr& state,
                                         const SlotRequest& request) {
  const bool warm =
      !request.affinity_key.empty() && state->RecordKey(request.affinity_key);
  return {state, [this, warm](const StatePtr& ended, AttemptOutcome outcome,
                              Milliseconds latency) {
            for (const auto& [name, pool] : pools_) {
              if (std::find(pool.targets.begin(), pool.targets.end(), ended) !=
                  pool.targets.end()) {
                EndAttempt(name, ended, outcome, latency, warm);
                return;
              }
            }
            ended->End(outcome, latency, Clock::now());
          }};
}

void LocalTargetRouter::EndAttempt(const std::string& service,
                                   const StatePtr& state,
                                   AttemptOutcome outcome,
                                   Milliseconds latency,
                                   bool warm) {
  const TimePoint now = Clock::now();
  const bool returning = state->returning();
  state->End(outcome, latency, now);
  if (returning && !state->returning()) {
    spdlog::info("event=target_returned target={}", state->target().name);
  }
  TargetPool& pool = pools_.find(service)->second;
  if (outcome == AttemptOutcome::kAnswered) {
    const double usual = warm ? pool.times.warm_ms() : pool.times.cold_ms();
    state->RecordRun(static_cast<double>(latency.count()) / usual);
    pool.times.Learn(warm, latency);
  }
  const bool bad = outcome == AttemptOutcome::kFailed ||
                   outcome == AttemptOutcome::kDisconnected ||
                   outcome == AttemptOutcome::kErrorResponse;
  if (outcome == AttemptOutcome::kDisconnected) {
    links_.RecordFailure();
  }
  if (bad && state->WantsEjection()) {
    pool.MaybeEject(state, options_.max_ejected_fraction, metrics_, now);
  }
  ServeWaiters(pool, now);
}

void LocalTargetRouter::ServeWaiters(TargetPool& pool, TimePoint now) {
  while (ServeNext(pool, now)) {
  }
}

bool LocalTargetRouter::ServeNext(TargetPool& pool, TimePoint now) {
  const std::vector<FairQueue::WaiterPtr> heads = pool.queue.Heads();
  return std::any_of(heads.begin(), heads.end(),
                     [this, &pool, now](const FairQueue::WaiterPtr& head) {
                       return TryServe(pool, head, now);
                     });
}

bool LocalTargetRouter::TryServe(TargetPool& pool,
                                 const FairQueue::WaiterPtr& head,
                                 TimePoint now) {
  const StatePtr state = TryChoose(pool, head->request, now);
  if (!state) {
    return false;
  }
  head->lacks_tokens = head->request.charge && !head->request.charge();
  if (head->lacks_tokens) {
    if (now - head->since > options_.max_unpaid_wait) {
      head->timer.cancel();
    }
    return false;
  }
  pool.queue.Serve(head);
  state->Begin(now);
  head->granted = state;
  head->timer.cancel();
  return true;
}

void LocalTargetRouter::ServeAllWaiters() {
  UpdateRateShares();
  const TimePoint now = Clock::now();
  bool waiting = false;
  for (auto& [name, pool] : pools_) {
    ServeWaiters(pool, now);
    waiting = waiting || !pool.queue.empty();
  }
  if (!waiting) {
    waking_ = false;
    wake_.Stop();
  }
}

}  // namespace redwing
