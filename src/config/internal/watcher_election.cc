#include "config/internal/watcher_election.h"

#include <algorithm>
#include <functional>

namespace redwing {

namespace {

bool IsRefused(const WatcherCandidate& candidate) {
  return candidate.access == StoreAccess::kRefused;
}

// Counts of the other instances of the region.
struct Counts {
  size_t refused = 0;
  size_t refused_choices = 0;
  size_t answering_choices = 0;
  // Of those that are no first choice: all that the store answers, and those
  // with a higher score than the own one that it answers or does not refuse.
  size_t answered = 0;
  size_t answered_before = 0;
  size_t eligible_before = 0;
};

Counts CountOthers(uint64_t score,
                   const std::vector<WatcherCandidate>& others,
                   uint64_t lowest_choice) {
  Counts counts;
  for (const WatcherCandidate& other : others) {
    const bool refused = IsRefused(other);
    counts.refused += refused ? 1 : 0;
    if (other.score >= lowest_choice) {
      (refused ? counts.refused_choices : counts.answering_choices) += 1;
      continue;
    }
    const bool before = other.score > score;
    const bool answered = other.access == StoreAccess::kAnswered;
    counts.answered += answered ? 1 : 0;
    counts.answered_before += answered && before ? 1 : 0;
    counts.eligible_before += !refused && before ? 1 : 0;
  }
  return counts;
}

// Returns the score of the last first choice among these instances; 0 if all of
// them are.
uint64_t LowestChoice(const std::vector<WatcherCandidate>& others) {
  if (others.size() < kWatchersPerRegion) {
    return 0;
  }
  std::vector<uint64_t> scores;
  scores.reserve(others.size());
  for (const WatcherCandidate& other : others) {
    scores.push_back(other.score);
  }
  const auto last = scores.begin() + kWatchersPerRegion - 1;
  std::nth_element(scores.begin(), last, scores.end(), std::greater<>());
  return *last;
}

}  // namespace

bool IsFirstChoice(uint64_t score,
                   const std::vector<WatcherCandidate>& others) {
  return others.size() < kWatchersPerRegion || score > LowestChoice(others);
}

WatcherRole ElectWatcher(const WatcherCandidate& own,
                         const std::vector<WatcherCandidate>& others) {
  WatcherRole role;
  const Counts counts = CountOthers(own.score, others, LowestChoice(others));
  role.refused = counts.refused + (IsRefused(own) ? 1 : 0);
  if (IsFirstChoice(own.score, others)) {
    role.watches = true;
    role.first = std::none_of(
        others.begin(), others.end(), [&own](const WatcherCandidate& other) {
          return other.score > own.score && !IsRefused(other);
        });
    return role;
  }
  const size_t missing = counts.refused_choices;
  role.refused_choices = missing;
  if (IsRefused(own)) {
    role.probes = counts.answered < missing;
  } else if (own.access == StoreAccess::kAnswered) {
    role.watches = counts.answered_before < missing;
  } else {
    const size_t refused_reserves = counts.refused - missing;
    role.watches = counts.answered < missing &&
                   counts.eligible_before < missing + refused_reserves;
  }
  role.first = role.watches && counts.answering_choices == 0 &&
               counts.answered_before == 0;
  return role;
}

}  // namespace redwing
