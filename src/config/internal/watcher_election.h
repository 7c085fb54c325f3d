#ifndef REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_
#define REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "membership/store_access.h"

namespace redwing {

// Number of instances per region that read the store for the others.
inline constexpr size_t kWatchersPerRegion = 2;

// An instance of the region, as the election sees it.
struct WatcherCandidate {
  // Rendezvous score; the highest score is the first choice.
  uint64_t score = 0;
  StoreAccess access = StoreAccess::kIdle;
};

// Part of one instance in reading the store for its region.
struct WatcherRole {
  bool watches = false;
  // Whether no instance with a higher score that the store answers watches.
  bool first = false;
  // Whether the instance must find out at times if the store answers it again.
  bool probes = false;
  // Number of instances among the kWatchersPerRegion first choices that the
  // store refuses.
  size_t refused_choices = 0;
  // Number of all instances that the store refuses.
  size_t refused = 0;
};

// Returns whether the instance is among the first kWatchersPerRegion choices,
// which watch whether the store answers them or not.
bool IsFirstChoice(uint64_t score, const std::vector<WatcherCandidate>& others);

// Elects the watchers of a region. Each first choice that the store refuses is
// replaced by the next instances that it does not refuse: by as many as are
// missing, and by as many more as were refused in the attempt. Once enough of
// them get answers, the others stop. Every instance decides for itself, so
// instances whose views differ may all watch for a while.
WatcherRole ElectWatcher(const WatcherCandidate& own,
                         const std::vector<WatcherCandidate>& others);

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_
