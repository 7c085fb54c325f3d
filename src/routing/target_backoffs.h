#ifndef REDWING_ROUTING_TARGET_BACKOFFS_H_
#define REDWING_ROUTING_TARGET_BACKOFFS_H_

#include <cstdint>
#include <functional>

#include "framework/kernel/clock.h"
#include "membership/target_start.h"
#include "routing/target_memory.h"

namespace redwing {

// Times for which targets that turned a request away want nothing from this
// instance. Nothing is sent to them meanwhile, not even to see whether they
// take work again. Times are kept on a clock that goes on while the machine is
// suspended; a restart of this instance forgets them. The load that this
// answers: targets that are full for longer than a queue bears.
class TargetBackoffs {
 public:
  // Notes that a target wants nothing for a time. A longer one prolongs what is
  // left, a shorter one changes nothing. Returns the end of it.
  TimePoint Note(const TargetStart& target, Milliseconds asked, TimePoint now);
  // Returns when the target may be sent something again; the clock's zero when
  // it has not asked for anything.
  TimePoint EndOf(const TargetStart& target) const;
  // As TargetMemory::Retain().
  void Retain(const std::function<bool(uint64_t)>& is_listed, TimePoint now);

  bool empty() const { return ends_.empty(); }

 private:
  TargetMemory<TimePoint> ends_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_BACKOFFS_H_
