#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_CARRIER_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_CARRIER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "delivery/delivery_options.h"
#include "delivery/internal/carrier_services.h"
#include "delivery/internal/hop_token.h"
#include "delivery/internal/keyed_requests.h"
#include "delivery/internal/lag_shedder.h"
#include "delivery/internal/longest_runs.h"
#include "delivery/internal/placement_sequence.h"
#include "delivery/internal/request_admitter.h"
#include "delivery/internal/request_trail.h"
#include "delivery/internal/retry_budget.h"
#include "delivery/internal/upstream_sender.h"
#include "delivery/request_handler.h"
#include "framework/kernel/periodic_task.h"
#include "framework/log/line_limiter.h"

namespace redwing {

class Metrics;
class SocketRegistry;

// Handles callers' and forwarded requests: admits each one, sends it to
// candidates until one responds, and relays the response; retries only what did
// not run or may run twice.
class RequestCarrier : public RequestHandler {
 public:
  RequestCarrier(boost::asio::io_context& io,
                 SocketRegistry& sockets,
                 Metrics& metrics,
                 CarrierServices services,
                 std::vector<std::string> secrets,
                 DeliveryOptions options);

  // Sets the source of the time at which a stop cuts running requests;
  // std::nullopt while none has begun.
  void SetStopSource(std::function<std::optional<TimePoint>()> stop_time);
  void Start();
  void Stop();

  void HandleByService(HttpExchange& exchange, const Yield& yield) override;
  void HandleByHost(HttpExchange& exchange, const Yield& yield) override;
  uint32_t key_epoch() const override;
  std::vector<RequestDecision> DecisionsOn(
      std::string_view request_id) const override;

 private:
  void HandleAddressed(HttpExchange& exchange,
                       Addressing addressing,
                       const Yield& yield);
  Result<void> HandleAdmitted(const RequestContext& context,
                              HttpExchange& exchange,
                              const Yield& yield);
  // Sends a refusal; another instance also gets the body's hash.
  static void Refuse(HttpExchange& exchange,
                     Addressing addressing,
                     const Failure& failure,
                     const Yield& yield);
  // Rejects a caller's request, before reading its body, if the processor is
  // overloaded. Returns whether the request was rejected.
  bool Shed(HttpExchange& exchange, const Yield& yield);
  // Fails with kLeaving if a stop has begun and the request may not have ended
  // when it cuts running requests.
  Result<void> CheckEndsBeforeStop(const RequestContext& context) const;
  void MeasureLag();
  // Sends the request to one candidate after another until one responds or no
  // further attempt is allowed.
  Result<void> Deliver(Delivery& delivery, const Yield& yield);
  // Returns the time after which the caller of a failed request should retry.
  Milliseconds RetryAfterFor(const Delivery& delivery, const Failure& failure);
  bool MayRetry(const Delivery& delivery, const Failure& failure);
  // Returns whether to retry a request whose response is a server error.
  // Charges the retry budget if so.
  bool MayReplaceResponse(const Delivery& delivery);

  void CountOutcome(const RequestContext& context, const Failure* failure);
  void LogOutcome(const Delivery& delivery, const Failure* failure);

  Metrics& metrics_;
  CarrierServices services_;
  HopSigner signer_;
  DeliveryOptions options_;
  RequestAdmitter admitter_;
  RequestTrail trail_;
  UpstreamSender sender_;
  PlacementSequence placements_;
  KeyedRequests keyed_;
  RetryBudget retry_budget_;
  LongestRuns longest_runs_;
  std::function<std::optional<TimePoint>()> stop_time_;
  LagShedder shedder_;
  // Time at which the event loop's lag was last measured.
  TimePoint lag_measured_at_;
  LineLimiter shed_log_limiter_;
  PeriodicTask lag_timer_;
  std::mt19937_64 random_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_CARRIER_H_
