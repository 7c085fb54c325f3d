#ifndef REDWING_ROUTING_PLACEMENT_H_
#define REDWING_ROUTING_PLACEMENT_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "framework/errors/result.h"
#include "routing/place.h"

namespace redwing {

// What a request needs of its place.
struct PlaceRequest {
  std::string service;
  // Requests with the same key go to the same few targets.
  std::string affinity_key;
  std::set<std::string> tried_targets;
  // For how long it may wait for a slot.
  Milliseconds max_wait{0};
  // Tells whether the request may run in a region.
  std::function<bool(const std::string&)> may_run_in;
  // Of a caller of the own region: such requests move between regions little by
  // little. Those that others sent here have moved already.
  bool own_caller = true;
};

// Finds places for requests where each target is led by one entry of its
// region, which alone gives out its slots.
class Placement {
 public:
  static constexpr std::string_view kServiceName = "placement";

  virtual ~Placement() = default;

  // Returns the place from which the answer is expected first, of those with a
  // slot in time. Fails with kNoTarget when no target is left, and with
  // kQueueFull, and the shortest wait, when none has a slot in time.
  virtual Result<Place> FindPlace(const PlaceRequest& request) = 0;

  // Tells that the place had no room and the request did not run there. `wait`:
  // time until its leader expects a slot, 0 where it has said nothing of it.
  virtual void NoteFull(const Place& place, Milliseconds wait) = 0;
  // Tells that a request of an own caller was not placed after all.
  virtual void TakeBack(const Place& place) = 0;

  // Tells of requests handed to other entries for a target.
  virtual void BeginForward(const Place& place) = 0;
  // `round_trip`: time that the way alone took, where it is known.
  virtual void EndForward(const Place& place,
                          std::optional<Milliseconds> round_trip) = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_PLACEMENT_H_
