#ifndef REDWING_ROUTING_PLACEMENT_H_
#define REDWING_ROUTING_PLACEMENT_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "framework/errors/result.h"
#include "routing/target_placement.h"

namespace redwing {

// Requirements of a request on the target selected for it.
struct PlacementRequest {
  std::string service;
  // Requests with the same key are sent to the same few targets.
  std::string affinity_key;
  std::set<std::string> tried_targets;
  // Longest time for which the request may wait for a slot.
  Milliseconds max_wait{0};
  // Returns whether the request may run in the given region.
  std::function<bool(const std::string&)> may_run_in;
  // Whether the request came directly from a caller. Only such requests shift
  // between regions at a limited rate; forwarded ones have shifted already.
  bool from_caller = true;
};

// Selects targets for requests when each target has one slot leader: an entry
// instance of its region that alone assigns its slots.
class Placement {
 public:
  static constexpr std::string_view kServiceName = "placement";

  virtual ~Placement() = default;

  // Returns the target from which the response is expected first among those
  // with a slot in time. Fails with kNoTarget if no target accepts requests,
  // with kTargetBackoff and the time until the first target accepts requests
  // again if the targets have asked for a backoff, and with kQueueFull and the
  // shortest wait if no target has a slot in time.
  virtual Result<TargetPlacement> SelectTarget(
      const PlacementRequest& request) = 0;

  // Records that the target had no free slot and did not run the request.
  // `wait` is the time until its slot leader expects a free slot, or 0 if the
  // leader did not report it.
  virtual void RecordFull(const TargetPlacement& place, Milliseconds wait) = 0;
  // Takes back the count of a placement of a local caller's request that did
  // not run there.
  virtual void CancelPlacement(const TargetPlacement& place) = 0;

  // Records the start of forwarding a request to the slot leader of its target.
  virtual void BeginForward(const TargetPlacement& place) = 0;
  // Records the end of a forwarded request. `round_trip` is the network
  // round-trip time without the run, or std::nullopt if it is unknown.
  virtual void EndForward(const TargetPlacement& place,
                          std::optional<Milliseconds> round_trip) = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_PLACEMENT_H_
