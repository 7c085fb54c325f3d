#ifndef REDWING_ROUTING_INTERNAL_TARGET_POOL_H_
#define REDWING_ROUTING_INTERNAL_TARGET_POOL_H_

#include <memory>
#include <string>
#include <vector>

#include "membership/heartbeat.h"
#include "routing/fair_queue.h"
#include "routing/service_times.h"
#include "routing/target_state.h"

namespace redwing {

class Metrics;

// The targets of one service in this instance's region, and the requests that
// wait for their slots.
class TargetPool {
 public:
  using StatePtr = std::shared_ptr<TargetState>;

  explicit TargetPool(size_t queue_limit) : queue(queue_limit) {}

  // Returns the state of the target with this name, or of this start of a
  // target; null if there is none.
  StatePtr Find(const std::string& name) const;
  StatePtr Find(const Target& target) const;
  // Returns the state of a listed target, creating it if it is new.
  StatePtr Update(const Target& listed, TimePoint now);
  // Removes the targets that are not listed.
  void KeepListed(const std::vector<Target>& listed);
  bool HasUsable(TimePoint now) const;
  int UsableSlots(TimePoint now) const;
  // Returns the number of requests waiting here or known to be in flight at the
  // targets.
  int KnownLoad(TimePoint now) const;
  // Returns the targets with a slot for a request; those of the failure domain
  // to avoid only if there are no others.
  std::vector<TargetState*> Candidates(const SlotRequest& request,
                                       TimePoint now) const;

  // Applies the load that another instance of the region reported.
  void ApplyPeerLoad(const std::string& peer,
                     const std::vector<TargetLoadReport>& reports,
                     TimePoint now);
  // Returns the time until the first target accepts requests again if all are
  // in a backoff; with a name, the backoff of that target only. 0 if a target
  // accepts requests.
  Milliseconds BackoffLeft(const std::string& name, TimePoint now) const;
  // Ejects a target, unless the ejected ones are `max_fraction` of all already.
  void MaybeEject(const StatePtr& state,
                  double max_fraction,
                  Metrics& metrics,
                  TimePoint now) const;
  // See TargetState::ForgetFailures().
  void ForgetFailures() const;
  // Wakes and rejects all waiting requests.
  void RejectAllWaiters() const;
  // Wakes and rejects requests that wait for targets none of which accepts
  // requests.
  void RejectWaiters(TimePoint now) const;

  std::vector<StatePtr> targets;
  FairQueue queue;
  ServiceTimes times;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_POOL_H_
