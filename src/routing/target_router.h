#ifndef REDWING_ROUTING_TARGET_ROUTER_H_
#define REDWING_ROUTING_TARGET_ROUTER_H_

#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/kernel/channel.h"
#include "membership/target_start.h"
#include "routing/slot_request.h"
#include "routing/target_lease.h"

namespace redwing {

// State of one target, for status pages.
struct TargetStatus {
  std::string name;
  std::string service;
  int slots = 0;
  int outstanding = 0;
  bool closed = false;
  bool ejected = false;
  double latency_ms = 0;
};

// Gives out slots of the targets in this instance's region.
class TargetRouter {
 public:
  static constexpr std::string_view kServiceName = "target_router";

  virtual ~TargetRouter() = default;

  // Waits for a slot that the request can pay for. Fails with kNotRun:
  // kNoTarget, kQueueFull, kTargetBackoff and the time until the first target
  // takes requests again, kDeadlinePassed, kRateExceeded for want of tokens.
  virtual Result<TargetLease> AcquireSlot(const SlotRequest& request,
                                          const Yield& yield) = 0;

  // Notes that a target of any region says in the answer to a request that it
  // leaves: it gets no new work. `name`: for the log.
  virtual void NoteLeaving(const TargetStart& target,
                           std::string_view name,
                           std::string_view request_id) = 0;
  // Notes that a target of this region has turned a request away and wants
  // nothing more for a time.
  virtual void NoteBackoff(const Target& target,
                           Milliseconds asked,
                           std::string_view request_id) = 0;

  // Returns whether the region has targets of the service that take work.
  virtual bool HasUsableTarget(std::string_view service) const = 0;
  // What a run of a service is likely to take.
  virtual Milliseconds TypicalRun(const std::string& service) const = 0;
  // Part of the local capacity in use, 0 to 1000.
  virtual uint16_t LoadPermille() const = 0;
  // Returns the regions in which a service has targets that are not drained.
  virtual std::vector<std::string> RegionsOf(
      std::string_view service) const = 0;
  virtual std::vector<TargetStatus> Status() const = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_ROUTER_H_
