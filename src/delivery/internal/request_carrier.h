#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_CARRIER_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_CARRIER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "budget/charge.h"
#include "delivery/delivery_options.h"
#include "delivery/internal/hop_token.h"
#include "delivery/internal/idempotency_claims.h"
#include "delivery/internal/idempotency_table.h"
#include "delivery/internal/request_admitter.h"
#include "delivery/internal/retry_budget.h"
#include "delivery/internal/upstream_attempt.h"
#include "delivery/internal/wait_policy.h"
#include "delivery/request_handler.h"
#include "framework/http/connection_pool.h"
#include "framework/kernel/cancellation.h"
#include "framework/kernel/periodic_task.h"
#include "routing/target_lease.h"

namespace redwing {

class Budgets;
class Membership;
class Placement;
class Metrics;
class RequestBody;
class TargetRouter;
class SocketRegistry;
struct Member;
struct Place;

// Services that a RequestCarrier uses.
struct CarrierServices {
  std::shared_ptr<Identity> identity;
  std::shared_ptr<SteeringConfig> config;
  std::shared_ptr<KeyRing> keys;
  std::shared_ptr<Freshness> freshness;
  std::shared_ptr<Budgets> budgets;
  std::shared_ptr<Membership> membership;
  std::shared_ptr<TargetRouter> router;
  std::shared_ptr<ObjectStore> store;
  // Null unless targets are led.
  std::shared_ptr<Placement> placement;
};

// Carries requests: admits them, finds a place where they run, sends them
// there and hands the answer on; tries again only what did not run or may run
// twice.
class RequestCarrier : public RequestHandler {
 public:
  RequestCarrier(boost::asio::io_context& io,
                 SocketRegistry& sockets,
                 Metrics& metrics,
                 CarrierServices services,
                 std::vector<std::string> secrets,
                 DeliveryOptions options);

  void Start();
  void Stop();

  void Carry(HttpExchange& exchange, const Yield& yield) override;
  void CarryByHost(HttpExchange& exchange, const Yield& yield) override;
  uint32_t key_epoch() const override;

 private:
  // What one request's tries share.
  struct Delivery {
    Delivery(const RequestContext& request_context,
             RequestBody& request_body,
             HttpExchange& http_exchange)
        : context(request_context),
          body(request_body),
          exchange(http_exchange) {}

    const RequestContext& context;
    RequestBody& body;
    HttpExchange& exchange;
    Cancellation cancellation;
    // Nobody is served once the caller has left.
    bool cancellable = false;
    // Collect the answer instead of handing it on.
    bool collect = false;
    // Wait for a slot where none is free.
    bool patient = false;
    // Targets and entries that it was sent to.
    int sent = 0;
    std::optional<StoredAnswer> answer;
    std::set<std::string> tried_targets;
    std::set<std::string> tried_regions;
    // The target that was chosen, where targets are led.
    std::string chosen_target;
    // Of the last attempt, when it opened a connection.
    std::optional<Milliseconds> connect_time;
    // Leaders that had no room.
    int refusals = 0;
    // No place is left.
    bool exhausted = false;
    std::string last_failure_domain;
  };

  void CarryAddressed(HttpExchange& exchange,
                      Addressing addressing,
                      const Yield& yield);
  Result<void> CarryAdmitted(const RequestContext& context,
                             HttpExchange& exchange,
                             const Yield& yield);
  // Tries places until one answers or no further try is allowed.
  Result<void> Deliver(Delivery& delivery, const Yield& yield);
  bool MayTryAgain(const Delivery& delivery, const Failure& failure);
  // Returns whether to ask again for an answer that is a server error.
  bool MayReplace(const Delivery& delivery);
  // Returns whether nobody waits for the answer any more.
  static bool IsAbandoned(const Delivery& delivery);
  // Returns whether the request can be sent once more at all.
  static bool CanRepeat(const Delivery& delivery);
  // Finds the next place and sends the request there; kNoTarget when no place
  // is left.
  Result<void> TryNext(Delivery& delivery, const Yield& yield);
  // The same where targets are led.
  Result<void> TryNextPlace(Delivery& delivery, const Yield& yield);
  Result<void> TryLeader(Delivery& delivery,
                         const Place& place,
                         const Yield& yield);
  // Sends it to one region. Fails as TryLocal() and TryRegion() do.
  Result<void> TryOnce(Delivery& delivery,
                       const std::string& region,
                       const Yield& yield);
  // Names the region for the next try; nothing when none is left.
  std::optional<std::string> ChooseRegion(Delivery& delivery) const;
  std::vector<std::string> OtherRegions(const Delivery& delivery) const;

  Result<TargetLease> AcquireSlot(const Delivery& delivery, const Yield& yield);
  static std::vector<Charge> WorkspaceCharges(const RequestContext& context);
  // Lists what a request pays when it goes to a target of this region. It pays
  // there and then, whichever entry the caller used: what a caller's entry had
  // paid for could arrive in a bunch.
  std::vector<Charge> LocalCharges(const RequestContext& context) const;
  // Bytes charged to a link for an answer before it is there.
  static double ResponseEstimate(const RequestContext& context);
  // Names the link budget that the answer to a forwarded request takes; empty
  // when it takes none.
  std::string ResponseLink(const RequestContext& context) const;
  Result<void> TryLocal(Delivery& delivery, const Yield& yield);
  Result<void> TryRegion(Delivery& delivery,
                         const std::string& region,
                         const Yield& yield);
  Result<void> SendToEntry(Delivery& delivery,
                           const Member& member,
                           bool owner_hop,
                           const Yield& yield);
  WaitRequest WaitRequestOf(const RequestContext& context) const;
  HopToken TokenFor(const Delivery& delivery, const Member& member) const;
  const Member* ChooseEntry(const std::string& region);

  // At-most-once for requests with an idempotency key.
  Result<void> CarryKeyed(Delivery& delivery, const Yield& yield);
  Result<void> RunOwned(Delivery& delivery, const Yield& yield);
  Result<void> SendToOwner(Delivery& delivery,
                           const std::string& process_id,
                           const Yield& yield);

  AttemptPlan PlanFor(const Delivery& delivery) const;

  void CountOutcome(const RequestContext& context, const Failure* failure);
  void LogOutcome(const Delivery& delivery, const Failure* failure);

  boost::asio::io_context& io_;
  Metrics& metrics_;
  CarrierServices services_;
  HopSigner signer_;
  DeliveryOptions options_;
  RequestAdmitter admitter_;
  ConnectionPool pool_;
  IdempotencyTable table_;
  IdempotencyClaims claims_;
  RetryBudget retry_budget_;
  std::mt19937_64 random_;
  PeriodicTask close_idle_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_CARRIER_H_
