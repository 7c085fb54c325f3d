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

// Properties of a target that are the same for every request placed on it.
struct PlacementTarget {
  const Target* target = nullptr;
  // Hash of the target's name; its lower half identifies the target in
  // heartbeats.
  uint64_t hash = 0;
  // Number of the target's region.
  size_t region = 0;
  // Name of the target's slot leader.
  std::string leader;
  // State of the target; null unless this instance is its slot leader.
  const TargetState* state = nullptr;

  uint32_t short_hash() const { return static_cast<uint32_t>(hash); }
};

// The open targets of each service that have a slot leader. The lists are
// cached for each state of configuration and membership, so that a request
// needs no lookup by name for each target.
class PlacementTargets {
 public:
  using RegionNumbers = std::map<std::string, size_t>;

  PlacementTargets(const std::shared_ptr<Identity>& identity,
                   const std::shared_ptr<Membership>& membership,
                   std::shared_ptr<SteeringConfig> config,
                   std::shared_ptr<LocalTargetRouter> router,
                   std::shared_ptr<TargetLeaders> leaders);

  // Returns the targets of a service; null if the service does not exist. Valid
  // until the next change of configuration or membership, or the next departure
  // of a target.
  const std::vector<PlacementTarget>* Of(const std::string& service);
  // Numbers of the targets' regions, in the order in which they were first
  // seen; this instance's own region is kNearRegion.
  const RegionNumbers& region_numbers() const { return region_numbers_; }

  TargetLeaders& leaders() { return *leaders_; }

 private:
  std::vector<PlacementTarget> List(const std::vector<Target>& targets);

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<LocalTargetRouter> router_;
  std::shared_ptr<TargetLeaders> leaders_;
  RegionNumbers region_numbers_;
  // Keeps the targets alive that the lists point to.
  std::shared_ptr<const SteeringDocument> document_;
  // Lists of targets by service.
  std::map<std::string, std::vector<PlacementTarget>, std::less<>> lists_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_PLACEMENT_TARGETS_H_
