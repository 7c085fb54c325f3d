#ifndef REDWING_ROUTING_TARGET_DEPARTURES_H_
#define REDWING_ROUTING_TARGET_DEPARTURES_H_

#include <functional>
#include <vector>

#include "framework/kernel/clock.h"
#include "membership/target_start.h"
#include "routing/target_announcements.h"
#include "routing/target_memory.h"

namespace redwing {

// Targets that reported their departure in a response. They get no new
// requests. Only a later start makes such a target usable again, whatever the
// platform's list or a health check says of the departing one. The record is
// empty after a restart of this instance. It covers a release in which targets
// leave one after another while the platform's list is late or unreadable.
class TargetDepartures {
 public:
  // Records a departure that this instance received in a response, and starts
  // announcing it. Returns false if it was already known.
  bool RecordFromResponse(const TargetStart& target, TimePoint now);
  // Records a departure announced by another instance; it is not announced
  // again. Returns false if it was already known.
  bool RecordFromPeer(const TargetStart& target, TimePoint now);
  bool HasLeft(const TargetStart& target) const;
  // Returns the departures to put into the next heartbeat.
  std::vector<TargetStart> NextToAnnounce(TimePoint now);
  // See TargetMemory::Retain().
  void Retain(const std::function<bool(uint64_t)>& is_listed, TimePoint now);

  bool empty() const { return left_.empty(); }

 private:
  bool Record(const TargetStart& target, TimePoint now);

  TargetMemory<bool> left_;
  // Departures received in responses.
  TargetAnnouncements announced_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_DEPARTURES_H_
