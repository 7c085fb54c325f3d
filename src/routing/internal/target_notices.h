#ifndef REDWING_ROUTING_INTERNAL_TARGET_NOTICES_H_
#define REDWING_ROUTING_INTERNAL_TARGET_NOTICES_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "routing/target_backoffs.h"
#include "routing/target_departures.h"
#include "routing/target_rate_limits.h"

namespace redwing {

class Metrics;
class SteeringConfig;
struct Heartbeat;
struct Target;

// Which targets get no new requests, and until when: by operators' drains, the
// platform's list, and what targets report in responses.
class TargetNotices {
 public:
  explicit TargetNotices(Metrics& metrics) : metrics_(metrics) {}

  void Attach(std::shared_ptr<SteeringConfig> config);
  // Applies the departures marked in the platform's current list.
  void ApplyListing(TimePoint now);

  // Returns whether a target of any region is to get no new requests.
  bool IsClosed(const Target& target) const;
  // Returns the end of a target's backoff; the clock's zero if it has not asked
  // for one.
  TimePoint BackoffEnd(const Target& target) const;

  // Returns the rate limit of a target; kNoRateLimit if it has named none.
  double RateLimitOf(const Target& target) const;

  // Records a departure reported in the response to a request. `name` is the
  // target's name for the log. Returns false if the departure was already
  // known.
  bool RecordDeparture(const TargetStart& target,
                       std::string_view name,
                       std::string_view request_id,
                       TimePoint now);
  // Records departures announced by another instance. Returns whether at least
  // one of them was unknown.
  bool RecordFromPeer(const std::vector<TargetStart>& departed,
                      std::string_view member,
                      TimePoint now);
  // Records that a target asked for a backoff; returns the end of it.
  TimePoint RecordBackoff(const TargetStart& target,
                          std::string_view name,
                          Milliseconds asked,
                          std::string_view request_id,
                          TimePoint now);
  // Records the rate limit that a target named in the response to a request.
  // Returns whether it changes the limit.
  bool RecordRateLimit(const TargetStart& target,
                       std::string_view name,
                       double rate,
                       std::string_view request_id,
                       TimePoint now);
  // Records rate limits announced by another instance. Returns whether a limit
  // has changed.
  bool RecordRateLimitsFromPeer(const std::vector<TargetRateReport>& reports,
                                std::string_view member,
                                TimePoint now);
  // Adds departures and rate limits to the next heartbeat.
  void Announce(Heartbeat* heartbeat, TimePoint now);

 private:
  void Retain(TimePoint now);

  Metrics& metrics_;
  std::shared_ptr<SteeringConfig> config_;
  // Names of targets that the platform lists as leaving.
  std::set<std::string, std::less<>> listed_as_leaving_;
  TargetDepartures departures_;
  TargetBackoffs backoffs_;
  TargetRateLimits rate_limits_;
  TimePoint retained_at_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_NOTICES_H_
