#include "routing/internal/led_placement.h"

#include <algorithm>
#include <cmath>

#include "config/steering_config.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/internal/local_target_router.h"
#include "routing/target_state.h"

namespace redwing {

namespace {
// A report that its slot leader has not repeated for this long is stale.
constexpr Milliseconds kMaxReportAge{3'000};
constexpr double kRoundTripSmoothing = 0.2;
// Round-trip times assumed before the first measurement.
constexpr double kLocalRoundTripMs = 2;
constexpr double kRemoteRoundTripMs = 50;
// Multiple of its service's run times from which a target counts as slow.
constexpr double kSlownessThreshold = 1.6;
constexpr double kPercent = 100;
// Time after which a caller may find a target that accepts requests again.
constexpr Milliseconds kNoTargetRetry{1'000};

uint32_t HashOf(const std::string& name) {
  return static_cast<uint32_t>(Hash64(name));
}

double ToMillis(Clock::duration duration) {
  constexpr double kMillisPerSecond = 1000;
  return ToSeconds(duration) * kMillisPerSecond;
}

Milliseconds ShortestWait(const std::vector<TargetCandidate>& candidates) {
  const auto first =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const TargetCandidate& a, const TargetCandidate& b) {
                         return a.wait < b.wait;
                       });
  return Milliseconds(static_cast<int64_t>(first->wait));
}
}  // namespace

LedPlacement::LedPlacement(std::shared_ptr<Identity> identity,
                           std::shared_ptr<Membership> membership,
                           std::shared_ptr<SteeringConfig> config,
                           std::shared_ptr<LocalTargetRouter> router,
                           std::shared_ptr<TargetLeaders> leaders,
                           double max_shift)
    : identity_(std::move(identity)),
      membership_(std::move(membership)),
      config_(std::move(config)),
      router_(std::move(router)),
      targets_(identity_, membership_, config_, router_, std::move(leaders)),
      shift_(max_shift) {
  membership_->AddHeartbeatSource([this](Heartbeat& heartbeat) {
    router_->ReportTargets(
        [this](const Target& target) {
          return targets_.leaders().IsOwn(target);
        },
        &heartbeat);
    ReportPlacements(&heartbeat);
  });
  membership_->on_heartbeat().Subscribe(
      [this](const Member& member, const Heartbeat& heartbeat) {
        ApplyReports(member, heartbeat);
        ApplyPlacements(member, heartbeat);
      });
  membership_->on_change().Subscribe([this](const Member& member) {
    if (!member.usable()) {
      peer_placements_.erase(member.process_id);
    }
  });
}

Result<TargetPlacement> LedPlacement::SelectTarget(
    const PlacementRequest& request) {
  const std::vector<PlacementTarget>* const targets =
      targets_.Of(request.service);
  if (targets == nullptr) {
    return NotRun(Errc::kNoTarget, "the service does not exist",
                  kNoTargetRetry);
  }
  ListCandidates(request, *targets);
  if (candidates_.empty()) {
    const Milliseconds backoff =
        ShortestBackoff(request, *targets, Clock::now());
    if (backoff > Milliseconds(0)) {
      return NotRun(Errc::kTargetBackoff, "all targets asked for a backoff",
                    backoff);
    }
    return NotRun(Errc::kNoTarget, "no usable target", kNoTargetRetry);
  }
  const std::optional<size_t> best = Choose(request);
  if (!best) {
    return NotRun(Errc::kQueueFull, "no target has a slot in time",
                  ShortestWait(candidates_));
  }
  const PlacementTarget& chosen = *candidate_targets_[*best];
  const Target& target = *chosen.target;
  visited_[chosen.hash].Add(Hash64(request.affinity_key));
  return TargetPlacement{
      request.service,
      target.name,
      target.region,
      chosen.leader == identity_->name ? "" : chosen.leader,
      target.slots,
      Milliseconds(static_cast<int64_t>(candidates_[*best].expected))};
}

void LedPlacement::ListCandidates(const PlacementRequest& request,
                                  const std::vector<PlacementTarget>& targets) {
  constexpr double kNotAllowed = -1;
  const TimePoint now = Clock::now();
  const uint64_t key_hash = Hash64(request.affinity_key);
  slots_.assign(targets_.region_numbers().size(), 0);
  round_trip_ms_.assign(targets_.region_numbers().size(), kNotAllowed);
  for (const auto& [region, number] : targets_.region_numbers()) {
    if (request.may_run_in(region)) {
      round_trip_ms_[number] = RoundTripTo(region);
    }
  }
  candidates_.clear();
  candidate_targets_.clear();
  for (const PlacementTarget& target : targets) {
    TargetCandidate candidate;
    candidate.region = target.region;
    candidate.round_trip_ms =
        target.state == nullptr ? round_trip_ms_[target.region] : 0;
    if (round_trip_ms_[target.region] == kNotAllowed ||
        !Describe(target, now, &candidate)) {
      continue;
    }
    // A rate limit takes capacity from the region as a lost target does.
    slots_[candidate.region] += candidate.rate_limited ? 0 : candidate.slots;
    if (!request.tried_targets.empty() &&
        request.tried_targets.count(target.target->name) > 0) {
      continue;
    }
    candidate.score = HashOfTwo(key_hash, target.hash);
    const auto visited = visited_.find(target.hash);
    candidate.visited =
        visited != visited_.end() && visited->second.Contains(key_hash);
    candidates_.push_back(candidate);
    candidate_targets_.push_back(&target);
  }
}

std::optional<size_t> LedPlacement::Choose(const PlacementRequest& request) {
  const TimePoint now = Clock::now();
  const ShiftLimiter::Bounds bounds = shift_.BoundsAt(now);
  const bool bound = request.from_caller && !HasLostSlots(request, now);
  for (TargetCandidate& candidate : candidates_) {
    candidate.allowed = !bound || bounds.Allows(candidate.region);
  }
  const std::optional<size_t> best = ChooseCandidate(
      router_->TimesOf(request.service),
      static_cast<double>(request.max_wait.count()), &candidates_);
  if (best && request.from_caller) {
    CountPlacements(candidates_[*best].region, 1, now);
  }
  return best;
}

bool LedPlacement::HasLostSlots(const PlacementRequest& request,
                                TimePoint now) {
  bool lost = false;
  for (const auto& [region, number] : targets_.region_numbers()) {
    // A region in which the request may not run does not count as lost
    // capacity.
    lost = (request.may_run_in(region) &&
            slot_history_.HasDropped(request.service + "/" + region,
                                     slots_[number], now)) ||
           lost;
  }
  return lost;
}

void LedPlacement::RecordFull(const TargetPlacement& place, Milliseconds wait) {
  const auto report = reports_.find(HashOf(place.target));
  if (place.leader.empty() || report == reports_.end() ||
      report->second.leader != place.leader) {
    return;
  }
  // Counts as a report of now: an older one does not include this load.
  const double run = std::max(
      1.0, router_->TimesOf(place.service).warm_ms() * report->second.slowness);
  const double waiting = static_cast<double>(wait.count()) / run;
  report->second.load =
      std::max(report->second.load,
               static_cast<int>(std::ceil(place.slots * (1 + waiting))));
  report->second.at = Clock::now();
}

void LedPlacement::CancelPlacement(const TargetPlacement& place) {
  CountPlacements(targets_.region_numbers().at(place.region), -1, Clock::now());
}

void LedPlacement::CountPlacements(size_t region, int requests, TimePoint now) {
  shift_.Record(region, now, requests);
  placements_[region] += static_cast<uint32_t>(requests);
}

void LedPlacement::ReportPlacements(Heartbeat* heartbeat) const {
  for (const auto& [region, number] : targets_.region_numbers()) {
    const auto placed = placements_.find(number);
    if (placed != placements_.end()) {
      heartbeat->placed.push_back({HashOf(region), placed->second});
    }
  }
}

void LedPlacement::ApplyPlacements(const Member& member,
                                   const Heartbeat& heartbeat) {
  if (member.region != identity_->region) {
    return;
  }
  std::map<uint32_t, uint32_t>& known = peer_placements_[member.process_id];
  const TimePoint now = Clock::now();
  for (const auto& [region, number] : targets_.region_numbers()) {
    const uint32_t hash = HashOf(region);
    const auto placed =
        std::find_if(heartbeat.placed.begin(), heartbeat.placed.end(),
                     [hash](const PlacedRequests& requests) {
                       return requests.region_hash == hash;
                     });
    if (placed == heartbeat.placed.end()) {
      continue;
    }
    const auto before = known.emplace(hash, placed->count);
    const int more = static_cast<int>(placed->count - before.first->second);
    before.first->second = placed->count;
    if (more != 0) {
      shift_.Record(number, now, more);
    }
  }
}

void LedPlacement::BeginForward(const TargetPlacement& place) {
  ++forwarded_[Hash64(place.target)];
}

void LedPlacement::EndForward(const TargetPlacement& place,
                              std::optional<Milliseconds> round_trip) {
  const auto count = forwarded_.find(Hash64(place.target));
  if (--count->second == 0) {
    forwarded_.erase(count);
  }
  if (!round_trip) {
    return;
  }
  const double sample = static_cast<double>(round_trip->count());
  double& smoothed = round_trips_.emplace(place.region, sample).first->second;
  smoothed += (sample - smoothed) * kRoundTripSmoothing;
}

void LedPlacement::ApplyReports(const Member& member,
                                const Heartbeat& heartbeat) {
  const TimePoint now = Clock::now();
  for (const TargetLoadReport& work : heartbeat.work) {
    reports_[work.target_hash] = {member.name,
                                  work.outstanding + work.waiting,
                                  work.slowness_percent / kPercent,
                                  work.usable || work.backoff_ms > 0,
                                  now + Milliseconds(work.backoff_ms),
                                  now,
                                  now};
  }
  for (const TargetRateReport& limit : heartbeat.rate_limits) {
    const auto report =
        reports_.find(static_cast<uint32_t>(limit.target.name_hash));
    if (report != reports_.end() && report->second.leader == member.name) {
      report->second.admits_at = now + Milliseconds(limit.wait_ms);
    }
  }
}

bool LedPlacement::Describe(const PlacementTarget& target,
                            TimePoint now,
                            TargetCandidate* candidate) const {
  candidate->slots = target.target->slots;
  candidate->rate_limited = router_->IsRateLimited(*target.target);
  double slowness = 1;
  if (target.leader == identity_->name) {
    if (target.state == nullptr || !target.state->Usable(now)) {
      return false;
    }
    candidate->load =
        target.state->outstanding() + router_->WaitingFor(target.target->name);
    candidate->rate_wait = ToMillis(router_->RateLimitWait(*target.state, now));
    slowness = target.state->slowness();
  } else {
    const Report* const report = ReportOf(target, now);
    if (report != nullptr && (!report->usable || now < report->backoff_end)) {
      return false;
    }
    candidate->load = report == nullptr ? 0 : report->load;
    slowness = report == nullptr ? 1 : report->slowness;
    candidate->rate_wait =
        report == nullptr ? 0
                          : std::max(0.0, ToMillis(report->admits_at - now));
    const auto own = forwarded_.find(target.hash);
    if (own != forwarded_.end()) {
      candidate->load = std::max<double>(candidate->load, own->second);
    }
  }
  // Small differences are random; ignoring them keeps keys at their targets.
  candidate->slowness = slowness < kSlownessThreshold ? 1 : slowness;
  return true;
}

Milliseconds LedPlacement::ShortestBackoff(
    const PlacementRequest& request,
    const std::vector<PlacementTarget>& targets,
    TimePoint now) const {
  TimePoint first = TimePoint::max();
  for (const PlacementTarget& target : targets) {
    const TimePoint end = BackoffEnd(target, now);
    if (end > now && request.may_run_in(target.target->region)) {
      first = std::min(first, end);
    }
  }
  return first == TimePoint::max()
             ? Milliseconds(0)
             : std::chrono::ceil<Milliseconds>(first - now);
}

TimePoint LedPlacement::BackoffEnd(const PlacementTarget& target,
                                   TimePoint now) const {
  if (target.leader == identity_->name) {
    return target.state == nullptr ? now : now + target.state->BackoffLeft(now);
  }
  const Report* const report = ReportOf(target, now);
  return report == nullptr ? now : report->backoff_end;
}

const LedPlacement::Report* LedPlacement::ReportOf(
    const PlacementTarget& target,
    TimePoint now) const {
  const auto report = reports_.find(target.short_hash());
  const bool believed = report != reports_.end() &&
                        report->second.leader == target.leader &&
                        now - report->second.at < kMaxReportAge;
  return believed ? &report->second : nullptr;
}

double LedPlacement::RoundTripTo(const std::string& region) const {
  const auto measured = round_trips_.find(region);
  if (measured != round_trips_.end()) {
    return measured->second;
  }
  return region == identity_->region ? kLocalRoundTripMs : kRemoteRoundTripMs;
}

}  // namespace redwing
