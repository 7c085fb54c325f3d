#ifndef REDWING_ROUTING_INTERNAL_TARGET_POOL_H_
#define REDWING_ROUTING_INTERNAL_TARGET_POOL_H_

#include <memory>
#include <string>
#include <vector>

#include "routing/fair_queue.h"
#include "routing/service_times.h"
#include "routing/target_state.h"

namespace redwing {

// The targets of one service in the own region, and the requests that wait for
// their slots.
class TargetPool {
 public:
  using StatePtr = std::shared_ptr<TargetState>;

  explicit TargetPool(size_t queue_limit) : queue(queue_limit) {}

  // Returns the state of a target with this name, or of this start of a target;
  // null when there is none.
  StatePtr Find(const std::string& name) const;
  StatePtr Find(const Target& target) const;
  // Drops the targets that are not among those listed.
  void KeepListed(const std::vector<Target>& listed);
  bool HasUsable(TimePoint now) const;
  int UsableSlots(TimePoint now) const;
  // Returns the requests that run or wait, as far as is known.
  int KnownWork(TimePoint now) const;
  // Returns the targets with a slot for a request; those of the failure domain
  // that it avoids only when there are no others.
  std::vector<TargetState*> Candidates(const SlotRequest& request,
                                       TimePoint now) const;

  // Returns the time until the first target takes requests again, if all have
  // asked for time, or the one with this name has; zero otherwise.
  Milliseconds BackoffLeft(const std::string& name, TimePoint now) const;
  // Wakes requests that wait for targets none of which takes requests.
  void TurnWaitersAway(TimePoint now) const;

  std::vector<StatePtr> targets;
  FairQueue queue;
  ServiceTimes times;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_POOL_H_
