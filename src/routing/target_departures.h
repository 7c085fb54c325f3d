#ifndef REDWING_ROUTING_TARGET_DEPARTURES_H_
#define REDWING_ROUTING_TARGET_DEPARTURES_H_

#include <deque>
#include <functional>
#include <vector>

#include "framework/kernel/clock.h"
#include "membership/target_start.h"
#include "routing/target_memory.h"

namespace redwing {

// Targets that have said in an answer that they leave. They get no new request;
// only a later start makes them usable again, whatever the platform's list or a
// health check says of the one that leaves. Empty after a restart of this
// instance. The load that this answers: a release, in which one target after
// the other leaves while the list is late or cannot be read.
class TargetDepartures {
 public:
  // Instances that have read it in an answer tell others for this long.
  static constexpr std::chrono::seconds kToldFor{30};
  // Most departures in one message.
  static constexpr size_t kToldAtOnce = 16;

  // Notes what an answer has told here. Returns whether it is news.
  bool NoteAnswer(const TargetStart& target, TimePoint now);
  // Notes what another instance has told, which is not told on.
  bool NotePeer(const TargetStart& target, TimePoint now);
  bool HasLeft(const TargetStart& target) const;
  // Returns what the next message tells; what does not fit comes in turn.
  std::vector<TargetStart> NextToTell(TimePoint now);
  // As TargetMemory::Retain().
  void Retain(const std::function<bool(uint64_t)>& is_listed, TimePoint now);

  bool empty() const { return left_.empty(); }

 private:
  struct Told {
    TargetStart target;
    TimePoint since;
  };

  bool Note(const TargetStart& target, TimePoint now);

  TargetMemory<bool> left_;
  // The oldest first.
  std::deque<Told> told_;
  size_t next_told_ = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_DEPARTURES_H_
