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

// Sends a request to a target of the own region or to another entry, once what
// it costs there is paid. All arguments of the constructor must outlive it.
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
  // Hands the request to another entry. `owner_hop`: as the process to which
  // its idempotency key is bound.
  Result<void> SendToEntry(Delivery& delivery,
                           const Member& member,
                           bool owner_hop,
                           const Yield& yield);

  static std::vector<Charge> WorkspaceCharges(const RequestContext& context);
  // Names the link budget that the answer to a forwarded request takes; empty
  // when it takes none.
  std::string ResponseLink(const RequestContext& context) const;
  WaitRequest WaitRequestOf(const RequestContext& context) const;

 private:
  Result<TargetLease> AcquireSlot(const Delivery& delivery,
                                  Reservation& reservation,
                                  const Yield& yield);
  // Lists what a request pays when it goes to a target of this region. It pays
  // there and then, whichever entry the caller used: what a caller's entry had
  // paid for could arrive in a bunch.
  std::vector<Charge> LocalCharges(const RequestContext& context) const;
  // Bytes charged to a link for an answer before it is there.
  static double ResponseEstimate(const RequestContext& context);
  HopToken TokenFor(const Delivery& delivery, const Member& member) const;
  AttemptPlan PlanFor(const Delivery& delivery) const;
  // Passes on what a target has said of itself, to the router and to the entry
  // that handed the request over.
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
