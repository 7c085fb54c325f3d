#ifndef REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_
#define REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/internal/placement_targets.h"
#include "routing/place_choice.h"
#include "routing/placement.h"
#include "routing/recent_keys.h"
#include "routing/room_history.h"
#include "routing/shift_limiter.h"

namespace redwing {

class LocalTargetRouter;
class Membership;
class SteeringConfig;
struct Heartbeat;
struct Identity;
struct Member;

// Placement over the targets of all regions, by what their leaders report with
// heartbeats and what this instance has handed to them.
class LedPlacement : public Placement {
 public:
  LedPlacement(std::shared_ptr<Identity> identity,
               std::shared_ptr<Membership> membership,
               std::shared_ptr<SteeringConfig> config,
               std::shared_ptr<LocalTargetRouter> router,
               double max_shift);

  Result<Place> FindPlace(const PlaceRequest& request) override;
  void NoteFull(const Place& place, Milliseconds wait) override;
  void TakeBack(const Place& place) override;
  void BeginForward(const Place& place) override;
  void EndForward(const Place& place,
                  std::optional<Milliseconds> round_trip) override;

 private:
  struct Report {
    std::string leader;
    int work = 0;
    double slowness = 1;
    bool usable = true;
    // Until when the target wants no requests.
    TimePoint backoff_end;
    TimePoint at;
  };

  // Lists the targets that may run a request, and by them the candidates.
  void ListCandidates(const PlaceRequest& request,
                      const std::vector<PlacementTarget>& targets);
  // Chooses among candidates as far as the traffic may move.
  std::optional<size_t> Choose(const PlaceRequest& request);
  // Returns whether a region has lost slots that a request could use lately.
  bool HasLostRoom(const PlaceRequest& request, TimePoint now);
  void ApplyReports(const Member& member, const Heartbeat& heartbeat);
  // Adds what this instance has placed.
  void ReportPlaced(Heartbeat* heartbeat) const;
  // Takes over what another instance of the own region has placed.
  void ApplyPlaced(const Member& member, const Heartbeat& heartbeat);
  // Counts requests that this instance has placed, or takes them back.
  void CountPlaced(size_t region, int requests, TimePoint now);
  // Fills what is known of a target's load; false when it takes no work.
  bool Describe(const PlacementTarget& target,
                TimePoint now,
                PlaceCandidate* candidate) const;
  // Returns the time until the first target of a request takes requests again,
  // if some have asked for time; zero when none has.
  Milliseconds ShortestBackoff(const PlaceRequest& request,
                               const std::vector<PlacementTarget>& targets,
                               TimePoint now) const;
  // Returns when a target takes requests again; the past when it does now.
  TimePoint BackoffEnd(const PlacementTarget& target, TimePoint now) const;
  // What a target's leader says of it; null when that is old or unknown.
  const Report* ReportOf(const PlacementTarget& target, TimePoint now) const;
  // Time to the entries of a region and back, in milliseconds.
  double TravelTo(const std::string& region) const;

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<LocalTargetRouter> router_;
  PlacementTargets targets_;
  // By hash of the target's name.
  std::unordered_map<uint32_t, Report> reports_;
  // Requests handed to other entries that have no answer yet, by hash of the
  // target's name.
  std::unordered_map<uint64_t, int> forwarded_;
  // Keys sent from here, by hash of the target's name.
  std::unordered_map<uint64_t, RecentKeys> visited_;
  // Smoothed round trip to the entries of a region, milliseconds.
  std::map<std::string, double> round_trips_;
  // Of the request that is being placed: slots that take work and time to get
  // there, by region, its candidates and their targets.
  std::vector<int> slots_;
  std::vector<double> travel_;
  std::vector<PlaceCandidate> candidates_;
  std::vector<const PlacementTarget*> candidate_targets_;
  ShiftLimiter shift_;
  // Requests placed by this instance, by number of the region.
  std::map<size_t, uint32_t> placed_;
  // What other processes have told of theirs, by process and region.
  std::map<std::string, std::map<uint32_t, uint32_t>> placed_by_others_;
  RoomHistory room_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_
