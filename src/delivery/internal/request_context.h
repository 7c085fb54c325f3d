#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_

#include <memory>
#include <string>

#include "framework/kernel/clock.h"
#include "steering/steering_document.h"

namespace redwing {

// What is known of a request on its way through this instance.
struct RequestContext {
  // Keeps service, route and workspace alive while the document changes.
  std::shared_ptr<const SteeringDocument> document;
  const Service* service = nullptr;
  const Route* route = nullptr;
  // Null on a route open to all.
  const Workspace* workspace = nullptr;
  std::string request_id;
  std::string key_id;
  std::string idempotency_key;
  // Path and query as the target is to see them.
  std::string target;
  TimePoint deadline;
  // Region of the entry that forwarded the request; empty if a caller sent it.
  std::string from_region;
  // The forwarding entry wants this process to own the idempotency key.
  bool owner_hop = false;

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
  // Returns whether a run must not be repeated.
  bool runs_once() const { return !route->idempotent; }
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_CONTEXT_H_
