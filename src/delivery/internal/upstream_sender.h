#ifndef REDWING_DELIVERY_INTERNAL_UPSTREAM_SENDER_H_
#define REDWING_DELIVERY_INTERNAL_UPSTREAM_SENDER_H_

#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "budget/charge.h"
#include "delivery/internal/hop_token.h"
#include "delivery/internal/request_context.h"
#include "delivery/internal/upstream_attempt.h"
#include "framework/http/connection_pool.h"
#include "framework/kernel/periodic_task.h"
#include "routing/target_lease.h"

namespace redwing {

class Metrics;
class RequestAdmitter;
class RequestTrail;
class Reservation;
class SocketRegistry;
struct CarrierServices;
struct Delivery;
struct DeliveryOptions;
struct Member;
struct WaitRequest;

// Sends a request to a target of this region or to another instance, after
// charging its cost. All arguments of the constructor must outlive this object.
class UpstreamSender {
 public:
  UpstreamSender(boost::asio::io_context& io,
                 SocketRegistry& sockets,
                 Metrics& metrics,
                 const CarrierServices& services,
                 const DeliveryOptions& options,
                 const HopSigner& signer,
                 const RequestAdmitter& admitter,
                 RequestTrail& trail);

  void Start();
  void Stop();

  // Waits for a slot of a target of this region and sends the request there.
  // Fails as Reserve(), AcquireSlot() and UpstreamAttempt::Run() do.
  Result<void> SendToTarget(Delivery& delivery, const Yield& yield);
  // Forwards the request to another instance. `owner_hop`: whether that
  // instance is addressed as the owner of the idempotency key.
  Result<void> ForwardToInstance(Delivery& delivery,
                                 const Member& member,
                                 bool owner_hop,
                                 const Yield& yield);

  static std::vector<Charge> WorkspaceCharges(const RequestContext& context);
  // Returns the name of the link budget that the response to a forwarded
  // request is charged to; empty if there is none.
  std::string ResponseLink(const RequestContext& context) const;
  WaitRequest WaitRequestOf(const RequestContext& context) const;

 private:
  Result<TargetLease> AcquireSlot(const Delivery& delivery,
                                  Reservation& reservation,
                                  const Yield& yield);
  // Returns the charges for sending a request to a target of this region. They
  // are made here and now, whichever instance the caller used: requests charged
  // earlier at the caller's instance could arrive in a burst.
  std::vector<Charge> LocalCharges(const RequestContext& context) const;
  // Returns the bytes charged to a link for a response before it arrives.
  static double ResponseEstimate(const RequestContext& context);
  HopToken TokenFor(const Delivery& delivery, const Member& member) const;
  AttemptPlan PlanFor(const Delivery& delivery) const;
  // Reports what a target has announced about itself to the router and to the
  // forwarding instance.
  void ApplyNotice(Delivery& delivery,
                   const Target& target,
                   const TargetNotice& notice);
  void ApplyDeparture(Delivery& delivery, const TargetStart& departed);

  Metrics& metrics_;
  const CarrierServices& services_;
  const DeliveryOptions& options_;
  const HopSigner& signer_;
  const RequestAdmitter& admitter_;
  RequestTrail& trail_;
  ConnectionPool pool_;
  PeriodicTask close_idle_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_UPSTREAM_SENDER_H_
