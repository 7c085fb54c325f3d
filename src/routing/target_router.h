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

// Assigns slots of the targets in this instance's region to requests.
class TargetRouter {
 public:
  static constexpr std::string_view kServiceName = "target_router";

  virtual ~TargetRouter() = default;

  // Waits for a slot and charges the request's tokens. Fails with kNotRun:
  // kNoTarget, kQueueFull, kTargetBackoff with the time until the first target
  // accepts requests again, kDeadlinePassed, or kRateExceeded if the tokens do
  // not suffice.
  virtual Result<TargetLease> AcquireSlot(const SlotRequest& request,
                                          const Yield& yield) = 0;

  // Records that a target of any region reported its departure in the response
  // to a request; it gets no new requests. `name` is the target's name for the
  // log.
  virtual void RecordDeparture(const TargetStart& target,
                               std::string_view name,
                               std::string_view request_id) = 0;
  // Records that a target of this region rejected a request and asked for a
  // backoff of length `asked`.
  virtual void RecordBackoff(const Target& target,
                             Milliseconds asked,
                             std::string_view request_id) = 0;
  // Records the rate limit that a target of this region named in a response, in
  // requests per second of all instances together; kNoRateLimit if the response
  // named none.
  virtual void RecordRateLimit(const Target& target,
                               double rate,
                               std::string_view request_id) = 0;

  // Returns whether this instance's region has a target of the service that
  // accepts requests.
  virtual bool HasUsableTarget(std::string_view service) const = 0;
  // Returns the usual run time of a warm request of the service.
  virtual Milliseconds TypicalRunTime(const std::string& service) const = 0;
  // Returns the load of this region's usable targets in permille of their
  // slots, from 0 to 1000.
  virtual uint16_t LoadPermille() const = 0;
  // Returns the regions in which the service has targets that are not closed.
  virtual std::vector<std::string> RegionsOf(
      std::string_view service) const = 0;
  virtual std::vector<TargetStatus> Status() const = 0;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_ROUTER_H_
