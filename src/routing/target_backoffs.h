#ifndef REDWING_ROUTING_TARGET_BACKOFFS_H_
#define REDWING_ROUTING_TARGET_BACKOFFS_H_

#include <cstdint>
#include <functional>

#include "framework/kernel/clock.h"
#include "membership/target_start.h"
#include "routing/target_memory.h"

namespace redwing {

// Backoffs of targets that rejected a request and asked this instance to send
// nothing for a time. Nothing is sent to them during it, not even probes. End
// times use a clock that continues while the machine is suspended; they are
// lost when this instance restarts. The backoffs protect targets that are full
// for longer than a queue can absorb.
class TargetBackoffs {
 public:
  // Records that a target asked for a backoff of length `asked`. It extends a
  // backoff that ends earlier and never shortens one. Returns the end of the
  // backoff, or the clock's zero if the request is from an outdated start of
  // the target.
  TimePoint Record(const TargetStart& target,
                   Milliseconds asked,
                   TimePoint now);
  // Returns the end of the target's backoff; the clock's zero if it has not
  // asked for one.
  TimePoint EndOf(const TargetStart& target) const;
  // See TargetMemory::Retain().
  void Retain(const std::function<bool(uint64_t)>& is_listed, TimePoint now);

  bool empty() const { return ends_.empty(); }

 private:
  TargetMemory<TimePoint> ends_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_BACKOFFS_H_
