#ifndef REDWING_ROUTING_INTERNAL_PLACEMENT_TARGETS_H_
#define REDWING_ROUTING_INTERNAL_PLACEMENT_TARGETS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "routing/internal/target_leaders.h"

namespace redwing {

class LocalTargetRouter;
class Membership;
class SteeringConfig;
class SteeringDocument;
class TargetState;
struct Identity;
struct Target;

// What placing a request needs to know of a target, whichever request it is.
struct PlacementTarget {
  const Target* target = nullptr;
  // Of the target's name; the lower half names it in heartbeats.
  uint64_t hash = 0;
  // Number of the target's region.
  size_t region = 0;
  // The entry that leads the target.
  std::string leader;
  // Null unless this instance leads it.
  const TargetState* state = nullptr;

  uint32_t short_hash() const { return static_cast<uint32_t>(hash); }
};

// The open targets of each service that some entry leads, listed once for each
// state of configuration and membership, so that a request costs no look-up by
// name for each of them.
class PlacementTargets {
 public:
  using RegionNumbers = std::map<std::string, size_t>;

  PlacementTargets(const std::shared_ptr<Identity>& identity,
                   const std::shared_ptr<Membership>& membership,
                   std::shared_ptr<SteeringConfig> config,
                   std::shared_ptr<LocalTargetRouter> router);

  // Returns the targets of a service; null when the service does not exist.
  // Valid until the next change of configuration or membership, or departure of
  // a target.
  const std::vector<PlacementTarget>* Of(const std::string& service);
  // Regions of targets by their numbers, in the order in which they were met;
  // this instance's own is kNearRegion.
  const RegionNumbers& region_numbers() const { return region_numbers_; }

  TargetLeaders& leaders() { return leaders_; }

 private:
  std::vector<PlacementTarget> List(const std::vector<Target>& targets);

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<LocalTargetRouter> router_;
  TargetLeaders leaders_;
  RegionNumbers region_numbers_;
  // Keeps alive what the lists refer to.
  std::shared_ptr<const SteeringDocument> document_;
  // By service.
  std::map<std::string, std::vector<PlacementTarget>, std::less<>> lists_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_PLACEMENT_TARGETS_H_
