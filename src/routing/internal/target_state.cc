#include "routing/target_state.h"

#include <algorithm>
#include <cmath>

#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {
// Work that takes this long is still there when the next report comes.
constexpr double kOutlivesReportsMs = 100;
// A slot that is likelier free than not is taken.
constexpr double kRoom = 0.5;
constexpr int kFailuresToEject = 3;
// More than for failures: a caller's request can be the cause of an error.
constexpr int kErrorAnswersToEject = 5;
constexpr Milliseconds kFirstEjection{1000};
constexpr int kMaxEjectionDoublings = 4;
constexpr Milliseconds kShedTime{100};
// A target with a queue of its own gets nothing more for this long.
constexpr Milliseconds kQueueTime{50};
constexpr Milliseconds kPeerWorkAge{500};
constexpr double kLatencySmoothing = 0.1;
constexpr double kSlownessSmoothing = 0.2;
// A target that starts to take work gets its slots one after another over this
// time, since it may be cold.
constexpr Milliseconds kWarmUp{2000};
}  // namespace

TargetState::TargetState(const Target& target, TimePoint now)
    : target_(target),
      endpoint_(TcpEndpoint(target.address)),
      hash_(static_cast<uint32_t>(Hash64(target.name))),
      opened_at_(now),
      cold_until_(now + target.warm_up_left) {}

void TargetState::SetTarget(const Target& target, TimePoint now) {
  // The time left counts from when it was listed, not from each change of the
  // configuration.
  if (target.warm_up_left != target_.warm_up_left) {
    cold_until_ = std::max<TimePoint>(cold_until_, now + target.warm_up_left);
  }
  target_ = target;
}

void TargetState::SetWarmUp(Milliseconds duration,
                            double rate,
                            double part,
                            TimePoint now) {
  warm_up_ = duration;
  warm_up_rate_ = rate;
  warm_up_limiter_.SetRate(rate, part, now);
}

void TargetState::SetClosed(bool closed, TimePoint now) {
  if (closed_ && !closed) {
    // Without work it may have turned cold.
    opened_at_ = now;
    cold_until_ = std::max<TimePoint>(cold_until_, now + warm_up_);
  }
  closed_ = closed;
}

int TargetState::KnownWork(TimePoint now) const {
  int work = outstanding_;
  for (const auto& [peer, report] : peer_work_) {
    if (now - report.at < kPeerWorkAge) {
      work += report.work;
    }
  }
  return work;
}

double TargetState::ExpectedWork(TimePoint now) const {
  const double stalled_ms =
      outstanding_ > 0 ? ToSeconds(now - progress_at_) * 1000 : 0;
  const double latency_ms = std::max({latency_ms_, stalled_ms, 1.0});
  const bool outlives_reports = latency_ms >= kOutlivesReportsMs;
  double work = outstanding_;
  for (const auto& [peer, report] : peer_work_) {
    const double age_ms = ToSeconds(now - report.at) * 1000;
    work += outlives_reports ? report.work
                             : report.work * std::exp(-age_ms / latency_ms);
  }
  return work;
}

void TargetState::SetPeerWork(const std::string& peer,
                              int work,
                              TimePoint now) {
  if (work == 0) {
    peer_work_.erase(peer);
  } else {
    peer_work_[peer] = {work, now};
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
  const bool probing =
      ejections_ > 0 && (failures_in_row_ > 0 || error_answers_in_row_ > 0);
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
      (limited && !warm_up_limiter_.CanSpend(now))) {
    return false;
  }
  // Room for a whole request, as far as is known.
  return ExpectedWork(now) + kRoom <= Limit(now);
}

bool TargetState::Usable(TimePoint now) const {
  return TakesRequests(now) && !Ejected(now);
}

bool TargetState::AddKey(const std::string& affinity_key) {
  return recent_keys_.Add(Hash64(affinity_key));
}

void TargetState::SetLoad(const TargetLoad& load, TimePoint now) {
  if (load.waiting > 0) {
    queue_until_ = now + kQueueTime;
  }
}

void TargetState::Begin(TimePoint now) {
  if (cold(now)) {
    warm_up_limiter_.Spend(now);
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
      failures_in_row_ = 0;
      error_answers_in_row_ = 0;
      ejections_ = 0;
      returning_ = false;
      const double sample = static_cast<double>(latency.count());
      latency_ms_ += (sample - latency_ms_) * kLatencySmoothing;
      break;
    }
    case AttemptOutcome::kErrorAnswer:
      ++error_answers_in_row_;
      break;
    case AttemptOutcome::kFailed:
      ++failures_in_row_;
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

void TargetState::NoteRun(double multiple) {
  slowness_ += (multiple - slowness_) * kSlownessSmoothing;
}

bool TargetState::WantsEjection() const {
  return failures_in_row_ >= kFailuresToEject ||
         error_answers_in_row_ >= kErrorAnswersToEject;
}

void TargetState::Eject(TimePoint now) {
  const int doublings = std::min(ejections_, kMaxEjectionDoublings);
  ejected_until_ = now + kFirstEjection * (1 << doublings);
  // It may have been started again meanwhile.
  cold_until_ = std::max<TimePoint>(cold_until_, ejected_until_ + warm_up_);
  ++ejections_;
  // One more after the pause ejects again.
  failures_in_row_ = kFailuresToEject - 1;
  error_answers_in_row_ = kErrorAnswersToEject - 1;
}

}  // namespace redwing
