#ifndef REDWING_CONFIG_INTERNAL_WATCHER_CANDIDACY_H_
#define REDWING_CONFIG_INTERNAL_WATCHER_CANDIDACY_H_

#include <cstdint>
#include <vector>

#include "config/internal/store_access_monitor.h"
#include "config/internal/watcher_election.h"
#include "framework/kernel/clock.h"
#include "membership/store_access.h"

namespace redwing {

// One instance's part in the election of its region's watchers: its role, what
// it reports of the store, and when it polls the store. One poll runs at a
// time.
class WatcherCandidacy {
 public:
  // Elects again, from the own rendezvous score and the other instances.
  void Elect(uint64_t score,
             const std::vector<WatcherCandidate>& others,
             TimePoint now);

  const WatcherRole& role() const { return role_; }
  bool first_choice() const { return first_choice_; }
  // Returns what the instance reports of the store.
  StoreAccess Access(TimePoint now) const;

  // Returns whether to poll the store: as a watcher, or to find out whether it
  // answers again.
  bool ShouldPoll(TimePoint now) const;
  // Records the start and the result of a poll.
  void BeginPoll(TimePoint now);
  void EndPoll(bool answered, TimePoint now);

 private:
  StoreAccessMonitor monitor_;
  // An instance that knows no other one watches.
  WatcherRole role_ = {true, true, false, 0, 0};
  bool first_choice_ = true;
  TimePoint last_poll_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_WATCHER_CANDIDACY_H_
