#include "config/internal/watcher_candidacy.h"

#include <algorithm>

namespace redwing {

namespace {
// Interval between two probes of a region by instances that the store refuses.
constexpr Milliseconds kRegionProbeInterval{250};
constexpr Milliseconds kMinProbeInterval{1'000};
}  // namespace

void WatcherCandidacy::Elect(uint64_t score,
                             const std::vector<WatcherCandidate>& others,
                             TimePoint now) {
  first_choice_ = IsFirstChoice(score, others);
  const WatcherRole before = role_;
  role_ = ElectWatcher({score, Access(now)}, others);
  const bool begins = role_.watches && !before.watches && !before.probes;
  const bool unneeded = !role_.watches && role_.refused_choices == 0;
  if (begins || unneeded) {
    // Earlier results say nothing of the present.
    monitor_.Reset();
  }
}

StoreAccess WatcherCandidacy::Access(TimePoint now) const {
  // A first choice that the store answers only now and then would take its part
  // back after each answer.
  const bool refused =
      first_choice_ ? monitor_.WasRefusedLately(now) : monitor_.IsRefused(now);
  if (refused) {
    return StoreAccess::kRefused;
  }
  return role_.watches && monitor_.answered() ? StoreAccess::kAnswered
                                              : StoreAccess::kIdle;
}

bool WatcherCandidacy::ShouldPoll(TimePoint now) const {
  const Milliseconds probe_interval =
      std::max(kMinProbeInterval,
               kRegionProbeInterval * static_cast<int64_t>(role_.refused));
  return role_.watches || (role_.probes && now - last_poll_ >= probe_interval);
}

void WatcherCandidacy::BeginPoll(TimePoint now) {
  monitor_.NoteCall(now);
  last_poll_ = now;
}

void WatcherCandidacy::EndPoll(bool answered, TimePoint now) {
  monitor_.NoteResult(answered, now);
}

}  // namespace redwing
