#ifndef REDWING_ROUTING_TARGET_ROUTER_H_
#define REDWING_ROUTING_TARGET_ROUTER_H_

#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"
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
  // kNoTarget, kQueueFull, kDeadlinePassed, kRateExceeded for want of tokens.
  virtual Result<TargetLease> AcquireSlot(const SlotRequest& request,
                                          const Yield& yield) = 0;

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
