#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "framework/kernel/clock.h"
#include "steering/steering_document.h"

namespace redwing {

// Properties of a request while this instance handles it.
struct RequestContext {
  // Keeps service, route and workspace alive while the document changes.
  std::shared_ptr<const SteeringDocument> document;
  const Service* service = nullptr;
  const Route* route = nullptr;
  // Null unless the route was selected by host and path.
  const HostRoute* host_route = nullptr;
  // Null if the route is open and the request has no valid key.
  const Workspace* workspace = nullptr;
  std::string request_id;
  std::string key_id;
  std::string idempotency_key;
  // Requests with the same key concern the same object; empty if not known.
  std::string affinity_key;
  // Path and query that the target receives.
  std::string target;
  TimePoint begun;
  TimePoint deadline;
  // The only target that may receive the request; empty if any may.
  std::string required_target;
  // Number of attempts that are still allowed.
  int max_attempts = Route::kDefaultMaxAttempts;
  // Region of the instance that forwarded the request; empty if a caller sent
  // it.
  std::string from_region;
  // Whether the forwarding instance addresses this process as the owner of the
  // idempotency key.
  bool owner_hop = false;
  // Whether the forwarding instance holds that the request must not run more
  // than once; its version of the route may be another one.
  bool must_run_once = false;
  // Whether the process that owns the idempotency key has registered the
  // request and forwarded it.
  bool key_registered = false;

  // Returns the time since the request arrived at the first instance.
  Milliseconds age() const {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - begun);
  }
  // Returns the time until the deadline; negative once it has passed.
  Milliseconds left() const {
    return std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
  }
  bool forwarded() const { return !from_region.empty(); }
  // Returns whether the request may be forwarded: a request is forwarded to one
  // region, through at most the process that owns its key.
  bool may_forward() const { return !forwarded() || owner_hop; }
  std::string workspace_name() const {
    return workspace == nullptr ? "" : workspace->name;
  }
  double weight() const { return workspace == nullptr ? 1 : workspace->weight; }
  // Returns whether the request may run while this instance's state is stale.
  bool allow_stale() const {
    return workspace == nullptr || workspace->serve_stale;
  }
  // Returns whether the request may run in a region.
  bool MayRunIn(const std::string& region) const {
    return IsHome(route->home_regions, region) &&
           (workspace == nullptr || IsHome(workspace->home_regions, region));
  }
  // Returns whether this instance is to find the process that owns the
  // request's idempotency key, or is that process.
  bool keyed() const {
    return runs_once() && !idempotency_key.empty() && !key_registered;
  }
  // Returns whether the request must not run more than once.
  bool runs_once() const { return must_run_once || !route->idempotent; }

 private:
  static bool IsHome(const std::vector<std::string>& homes,
                     const std::string& region) {
    return homes.empty() ||
           std::find(homes.begin(), homes.end(), region) != homes.end();
  }
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_
