#ifndef REDWING_ROUTING_INTERNAL_TARGET_NOTICES_H_
#define REDWING_ROUTING_INTERNAL_TARGET_NOTICES_H_

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "routing/target_backoffs.h"
#include "routing/target_departures.h"

namespace redwing {

class Metrics;
class SteeringConfig;
struct Target;

// Which targets get no new work, and until when: by operators' drains, the
// platform's list, and what targets say of themselves in answers.
class TargetNotices {
 public:
  explicit TargetNotices(Metrics& metrics) : metrics_(metrics) {}

  void Attach(std::shared_ptr<SteeringConfig> config);
  // Takes over what the platform's list tells now.
  void ApplyListing(TimePoint now);

  // Returns whether a target, of any region, is to get no new work.
  bool IsClosed(const Target& target) const;
  // Returns when a target may be sent something again, if it has asked for
  // time; the clock's zero otherwise.
  TimePoint BackoffEnd(const Target& target) const;

  // Notes what the answer to a request told; `name`: of the target, for the
  // log. Returns whether it is news.
  bool NoteLeaving(const TargetStart& target,
                   std::string_view name,
                   std::string_view request_id,
                   TimePoint now);
  // Notes departures that another instance has told. Returns whether one of
  // them is news.
  bool NotePeer(const std::vector<TargetStart>& departed,
                std::string_view member,
                TimePoint now);
  // Notes that a target wants nothing for a time; returns the end of it.
  TimePoint NoteBackoff(const TargetStart& target,
                        std::string_view name,
                        Milliseconds asked,
                        std::string_view request_id,
                        TimePoint now);
  // As TargetDepartures::NextToTell().
  std::vector<TargetStart> NextToTell(TimePoint now);

 private:
  void Retain(TimePoint now);

  Metrics& metrics_;
  std::shared_ptr<SteeringConfig> config_;
  // Names of targets that the platform lists as leaving.
  std::set<std::string, std::less<>> listed_as_leaving_;
  TargetDepartures departures_;
  TargetBackoffs backoffs_;
  TimePoint retained_at_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_INTERNAL_TARGET_NOTICES_H_
