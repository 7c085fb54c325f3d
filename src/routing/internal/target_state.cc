#include "routing/target_state.h"

#include <algorithm>
#include <cmath>

#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {
// Requests that take at least this long are still in flight when the next
// report arrives.
constexpr double kOutlivesReportsMs = 100;
// A slot is used if it is more likely free than not.
constexpr double kMinFreeSlots = 0.5;
constexpr int kFailuresToEject = 3;
// Higher than for failures: a caller's request can be the cause of an error.
constexpr int kErrorResponsesToEject = 5;
constexpr Milliseconds kFirstEjection{1000};
constexpr int kMaxEjectionDoublings = 4;
constexpr Milliseconds kShedTime{100};
// A target that reports a queue of its own gets no requests for this long.
constexpr Milliseconds kQueueBackoff{50};
constexpr Milliseconds kPeerLoadRetention{500};
constexpr double kLatencySmoothing = 0.1;
constexpr double kSlownessSmoothing = 0.2;
// Slow start: a target that begins to accept requests gets its slots gradually
// over this time, since it may be cold.
constexpr Milliseconds kWarmUp{2000};
}  // namespace

TargetState::TargetState(const Target& target, TimePoint now)
    : target_(target),
      endpoint_(TcpEndpoint(target.address)),
      hash_(static_cast<uint32_t>(Hash64(target.name))),
      opened_at_(now),
      cold_until_(now + target.warm_up_left) {}

void TargetState::SetTarget(const Target& target, TimePoint now) {
  // The remaining warm-up time counts from the time of listing, not from each
  // change of the configuration.
  if (target.warm_up_left != target_.warm_up_left) {
    cold_until_ = std::max<TimePoint>(cold_until_, now + target.warm_up_left);
  }
  target_ = target;
}

void TargetState::SetRateShare(double fraction, TimePoint now) {
  rate_share_ = fraction;
  SetWarmUp(warm_up_, warm_up_rate_, now);
  SetRateLimit(rate_limit_, now);
}

void TargetState::SetWarmUp(Milliseconds duration, double rate, TimePoint now) {
  warm_up_ = duration;
  warm_up_rate_ = rate;
  warm_up_limiter_.SetRate(rate, rate_share_, now);
}

void TargetState::SetRateLimit(double rate, TimePoint now) {
  rate_limit_ = rate;
  // Without a limit no tokens are saved for the next one.
  rate_limiter_.SetRate(rate == kNoRateLimit ? 0 : rate, rate_share_, now);
}

Milliseconds TargetState::RateLimitWait(int ahead, TimePoint now) const {
  return rate_limit_ == kNoRateLimit ? Milliseconds(0)
                                     : rate_limiter_.WaitBehind(ahead, now);
}

void TargetState::SetClosed(bool closed, TimePoint now) {
  if (closed_ && !closed) {
    // Without requests it may have turned cold.
    opened_at_ = now;
    cold_until_ = std::max<TimePoint>(cold_until_, now + warm_up_);
  }
  closed_ = closed;
}

int TargetState::KnownLoad(TimePoint now) const {
  int load = outstanding_;
  for (const auto& [peer, report] : peer_loads_) {
    if (now - report.at < kPeerLoadRetention) {
      load += report.load;
    }
  }
  return load;
}

double TargetState::ExpectedLoad(TimePoint now) const {
  const double stalled_ms =
      outstanding_ > 0 ? ToSeconds(now - progress_at_) * 1000 : 0;
  const double latency_ms = std::max({latency_ms_, stalled_ms, 1.0});
  const bool outlives_reports = latency_ms >= kOutlivesReportsMs;
  double load = outstanding_;
  for (const auto& [peer, report] : peer_loads_) {
    const double age_ms = ToSeconds(now - report.at) * 1000;
    load += outlives_reports ? report.load
                             : report.load * std::exp(-age_ms / latency_ms);
  }
  return load;
}

void TargetState::SetPeerLoad(const std::string& peer,
                              int load,
                              TimePoint now) {
  if (load == 0) {
    peer_loads_.erase(peer);
  } else {
    peer_loads_[peer] = {load, now};
  }
}

void TargetState::SetBackoff(TimePoint end) {
  if (end > backoff_end_) {
    backoff_end_ = end;
    returning_ = true;
  }
}

Milliseconds TargetState::BackoffLeft(TimePoint now) const {
  return std::chrono::ceil<Milliseconds>(
      std::max(Clock::duration(0), backoff_end_ - now));
}

int TargetState::Limit(TimePoint now) const {
  const bool probing = ejections_ > 0 && (consecutive_failures_ > 0 ||
                                          consecutive_error_responses_ > 0);
  if (probing || returning_ || now < shed_until_) {
    return 1;
  }
  const double warm =
      std::min(1.0, ToSeconds(now - opened_at_) / ToSeconds(kWarmUp));
  return std::max(1, static_cast<int>(target_.slots * warm));
}

bool TargetState::Available(TimePoint now) const {
  const bool limited = cold(now) && warm_up_rate_ > 0;
  if (!Usable(now) || now < queue_until_ ||
      (limited && !warm_up_limiter_.CanSpend(now)) ||
      RateLimitWait(0, now) > Milliseconds(0)) {
    return false;
  }
  // Requires a free slot by the load known here.
  return ExpectedLoad(now) + kMinFreeSlots <= Limit(now);
}

bool TargetState::Usable(TimePoint now) const {
  return TakesRequests(now) && !Ejected(now);
}

bool TargetState::RecordKey(const std::string& affinity_key) {
  return recent_keys_.Add(Hash64(affinity_key));
}

void TargetState::SetLoad(const TargetLoad& load, TimePoint now) {
  if (load.waiting > 0) {
    queue_until_ = now + kQueueBackoff;
  }
}

void TargetState::Begin(TimePoint now) {
  if (cold(now)) {
    warm_up_limiter_.Spend(now);
  }
  if (rate_limit_ != kNoRateLimit) {
    rate_limiter_.Spend(now);
  }
  if (outstanding_ == 0) {
    progress_at_ = now;
  }
  ++outstanding_;
}

void TargetState::End(AttemptOutcome outcome,
                      Milliseconds latency,
                      TimePoint now) {
  --outstanding_;
  progress_at_ = now;
  switch (outcome) {
    case AttemptOutcome::kAnswered: {
      consecutive_failures_ = 0;
      consecutive_error_responses_ = 0;
      ejections_ = 0;
      returning_ = false;
      const double sample = static_cast<double>(latency.count());
      latency_ms_ += (sample - latency_ms_) * kLatencySmoothing;
      break;
    }
    case AttemptOutcome::kErrorResponse:
      ++consecutive_error_responses_;
      break;
    case AttemptOutcome::kFailed:
    case AttemptOutcome::kDisconnected:
      ++consecutive_failures_;
      break;
    case AttemptOutcome::kShed:
      shed_until_ = now + kShedTime;
      break;
    case AttemptOutcome::kMoved:
      leaving_ = true;
      break;
    case AttemptOutcome::kCancelled:
      break;
  }
}

void TargetState::RecordRun(double multiple) {
  slowness_ += (multiple - slowness_) * kSlownessSmoothing;
}

bool TargetState::WantsEjection() const {
  return consecutive_failures_ >= kFailuresToEject ||
         consecutive_error_responses_ >= kErrorResponsesToEject;
}

void TargetState::Eject(TimePoint now) {
  const int doublings = std::min(ejections_, kMaxEjectionDoublings);
  ejected_until_ = now + kFirstEjection * (1 << doublings);
  // The target may have been restarted meanwhile.
  cold_after_ejection_until_ = ejected_until_ + warm_up_;
  ++ejections_;
  // One more failure after the ejection ejects the target again.
  consecutive_failures_ = kFailuresToEject - 1;
  consecutive_error_responses_ = kErrorResponsesToEject - 1;
}

void TargetState::ForgetFailures() {
  ejected_until_ = TimePoint();
  cold_after_ejection_until_ = TimePoint();
  ejections_ = 0;
  consecutive_failures_ = 0;
  consecutive_error_responses_ = 0;
}

}  // namespace redwing
