#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "framework/kernel/clock.h"
#include "steering/steering_document.h"

namespace redwing {

// What is known of a request on its way through this instance.
struct RequestContext {
  // Keeps service, route and workspace alive while the document changes.
  std::shared_ptr<const SteeringDocument> document;
  const Service* service = nullptr;
  const Route* route = nullptr;
  // Null unless host and path have selected the route.
  const HostRoute* host_route = nullptr;
  // Null on a route open to all.
  const Workspace* workspace = nullptr;
  std::string request_id;
  std::string key_id;
  std::string idempotency_key;
  // Requests with the same key concern the same object; empty when not known.
  std::string affinity_key;
  // Path and query as the target is to see them.
  std::string target;
  TimePoint begun;
  TimePoint deadline;
  // The only target that will do; empty for any.
  std::string wanted_target;
  // Targets to which the request may still be sent.
  int max_attempts = Route::kDefaultMaxAttempts;
  // Region of the entry that forwarded the request; empty if a caller sent it.
  std::string from_region;
  // The forwarding entry wants this process to own the idempotency key.
  bool owner_hop = false;

  // Time since the caller sent it.
  Milliseconds age() const {
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - begun);
  }
  // Time until the caller gives up; negative once it has.
  Milliseconds left() const {
    return std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
  }
  bool forwarded() const { return !from_region.empty(); }
  // Returns whether the request may go on to another entry: it goes to one
  // region, by way of at most its key's owner.
  bool may_forward() const { return !forwarded() || owner_hop; }
  std::string workspace_name() const {
    return workspace == nullptr ? "" : workspace->name;
  }
  double weight() const { return workspace == nullptr ? 1 : workspace->weight; }
  // Returns whether to go on without touch to the rest of the fleet.
  bool allow_stale() const {
    return workspace == nullptr || workspace->serve_stale;
  }
  // Returns whether the request may run in a region.
  bool MayRunIn(const std::string& region) const {
    return IsHome(route->home_regions, region) &&
           (workspace == nullptr || IsHome(workspace->home_regions, region));
  }
  // Returns whether a run must not be repeated.
  bool runs_once() const { return !route->idempotent; }

 private:
  static bool IsHome(const std::vector<std::string>& homes,
                     const std::string& region) {
    return homes.empty() ||
           std::find(homes.begin(), homes.end(), region) != homes.end();
  }
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_
