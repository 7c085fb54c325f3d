#ifndef REDWING_CONFIG_INTERNAL_WATCHER_DUTY_H_
#define REDWING_CONFIG_INTERNAL_WATCHER_DUTY_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "config/internal/watcher_candidacy.h"
#include "framework/kernel/clock.h"
#include "framework/kernel/periodic_task.h"

namespace redwing {

class Membership;
class ReplicatedState;
struct Identity;

// Takes part in the election of the watchers of this instance's region with
// what the members report in their heartbeats, and logs each change.
class WatcherDuty {
 public:
  WatcherDuty(boost::asio::io_context& io,
              std::shared_ptr<ReplicatedState> state,
              std::shared_ptr<Identity> identity);

  void Attach(std::shared_ptr<Membership> membership);
  void Start();
  void Stop() { refresh_.Stop(); }

  bool watches() const { return candidacy_.role().watches; }
  // Returns whether this instance is the first watcher of its region.
  bool first() const { return candidacy_.role().first; }
  bool ShouldPoll(TimePoint now) const { return candidacy_.ShouldPoll(now); }
  // Records the start and the result of a poll of the store.
  void BeginPoll(TimePoint now) { candidacy_.BeginPoll(now); }
  void EndPoll(bool answered, TimePoint now) {
    candidacy_.EndPoll(answered, now);
  }

 private:
  // A usable member of the region that takes part in the election.
  struct Rival {
    std::string name;
    WatcherCandidate candidate;
  };

  void Refresh();
  std::vector<Rival> Rivals() const;
  void LogRole(const WatcherRole& before) const;
  // Tells the next choices without delay that the store refuses this instance.
  void NotifyReserves(std::vector<Rival> rivals) const;

  std::shared_ptr<ReplicatedState> state_;
  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  WatcherCandidacy candidacy_;
  StoreAccess reported_ = StoreAccess::kIdle;
  PeriodicTask refresh_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_WATCHER_DUTY_H_
