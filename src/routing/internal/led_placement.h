#ifndef REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_
#define REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_

#include <map>
#include <memory>
#include <string>

#include "routing/internal/target_leaders.h"
#include "routing/place_choice.h"
#include "routing/placement.h"
#include "routing/recent_keys.h"

namespace redwing {

class LocalTargetRouter;
class Membership;
class SteeringConfig;
struct Heartbeat;
struct Identity;
struct Member;
struct Target;

// Placement over the targets of all regions, by what their leaders report with
// heartbeats and what this instance has handed to them.
class LedPlacement : public Placement {
 public:
  LedPlacement(std::shared_ptr<Identity> identity,
               std::shared_ptr<Membership> membership,
               std::shared_ptr<SteeringConfig> config,
               std::shared_ptr<LocalTargetRouter> router);

  Result<Place> FindPlace(const PlaceRequest& request) override;
  void BeginForward(const Place& place) override;
  void EndForward(const Place& place,
                  std::optional<Milliseconds> round_trip) override;

 private:
  struct Report {
    std::string leader;
    int work = 0;
    double slowness = 1;
    bool usable = true;
    TimePoint at;
  };

  void ApplyReports(const Member& member, const Heartbeat& heartbeat);
  // Fills what is known of a target's load; false when it takes no work.
  bool Describe(const Target& target,
                const std::string& leader,
                PlaceCandidate* candidate) const;
  double TravelTo(const std::string& region, const std::string& leader) const;

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<LocalTargetRouter> router_;
  TargetLeaders leaders_;
  // By hash of the target's name.
  std::map<uint32_t, Report> reports_;
  // Requests handed to other entries that have no answer yet, by target.
  std::map<std::string, int> forwarded_;
  // Keys sent from here, by target.
  std::map<std::string, RecentKeys> visited_;
  // Smoothed round trip to the entries of a region, milliseconds.
  std::map<std::string, double> round_trips_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_
