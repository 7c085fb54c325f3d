#ifndef REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_
#define REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/candidate_choice.h"
#include "routing/internal/placement_targets.h"
#include "routing/placement.h"
#include "routing/recent_keys.h"
#include "routing/shift_limiter.h"
#include "routing/slot_history.h"

namespace redwing {

class LocalTargetRouter;
class Membership;
class SteeringConfig;
struct Heartbeat;
struct Identity;
struct Member;

// Selects among the targets of all regions, using the load that slot leaders
// report with heartbeats and the requests that this instance has forwarded to
// them.
class LedPlacement : public Placement {
 public:
  LedPlacement(std::shared_ptr<Identity> identity,
               std::shared_ptr<Membership> membership,
               std::shared_ptr<SteeringConfig> config,
               std::shared_ptr<LocalTargetRouter> router,
               std::shared_ptr<TargetLeaders> leaders,
               double max_shift);

  Result<TargetPlacement> SelectTarget(
      const PlacementRequest& request) override;
  void RecordFull(const TargetPlacement& place, Milliseconds wait) override;
  void CancelPlacement(const TargetPlacement& place) override;
  void BeginForward(const TargetPlacement& place) override;
  void EndForward(const TargetPlacement& place,
                  std::optional<Milliseconds> round_trip) override;

 private:
  struct Report {
    std::string leader;
    int load = 0;
    double slowness = 1;
    bool usable = true;
    // End of the target's backoff.
    TimePoint backoff_end;
    // Time from which its rate limit admits one more request.
    TimePoint admits_at;
    TimePoint at;
  };

  // Fills the list of candidates with the targets that may run the request.
  void ListCandidates(const PlacementRequest& request,
                      const std::vector<PlacementTarget>& targets);
  // Chooses among the candidates within the limit on shifts between regions.
  std::optional<size_t> Choose(const PlacementRequest& request);
  // Returns whether a region in which the request may run has recently lost
  // many slots.
  bool HasLostSlots(const PlacementRequest& request, TimePoint now);
  void ApplyReports(const Member& member, const Heartbeat& heartbeat);
  // Adds the number of requests placed by this instance to a heartbeat.
  void ReportPlacements(Heartbeat* heartbeat) const;
  // Counts requests placed by another instance of this region, as reported with
  // its heartbeat.
  void ApplyPlacements(const Member& member, const Heartbeat& heartbeat);
  // Counts requests placed by this instance; a negative number takes them back.
  void CountPlacements(size_t region, int requests, TimePoint now);
  // Fills in the known load of a target. Returns false if the target accepts no
  // requests.
  bool Describe(const PlacementTarget& target,
                TimePoint now,
                TargetCandidate* candidate) const;
  // Returns the time until the first target of the request accepts requests
  // again; 0 if no target is in a backoff.
  Milliseconds ShortestBackoff(const PlacementRequest& request,
                               const std::vector<PlacementTarget>& targets,
                               TimePoint now) const;
  // Returns the end of a target's backoff; a time not after `now` if there is
  // none.
  TimePoint BackoffEnd(const PlacementTarget& target, TimePoint now) const;
  // Returns the last report of a target's slot leader; null if there is none or
  // it is stale.
  const Report* ReportOf(const PlacementTarget& target, TimePoint now) const;
  // Returns the network round-trip time to the entry instances of a region, in
  // milliseconds.
  double RoundTripTo(const std::string& region) const;

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<Membership> membership_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<LocalTargetRouter> router_;
  PlacementTargets targets_;
  // Last reports of slot leaders, by hash of the target's name.
  std::unordered_map<uint32_t, Report> reports_;
  // Requests forwarded to other entry instances that have no response yet, by
  // hash of the target's name.
  std::unordered_map<uint64_t, int> forwarded_;
  // Keys of requests sent by this instance, by hash of the target's name.
  std::unordered_map<uint64_t, RecentKeys> visited_;
  // Smoothed round-trip time to the entry instances of a region, in
  // milliseconds.
  std::map<std::string, double> round_trips_;
  // State of the request that is being placed: usable slots and round-trip time
  // by region, its candidates, and their targets.
  std::vector<int> slots_;
  std::vector<double> round_trip_ms_;
  std::vector<TargetCandidate> candidates_;
  std::vector<const PlacementTarget*> candidate_targets_;
  ShiftLimiter shift_;
  // Requests placed by this instance, by number of the region.
  std::map<size_t, uint32_t> placements_;
  // Placements reported by other processes, by process and hash of the region's
  // name.
  std::map<std::string, std::map<uint32_t, uint32_t>> peer_placements_;
  SlotHistory slot_history_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_LED_PLACEMENT_H_
