#ifndef REDWING_DELIVERY_INTERNAL_KEYED_REQUESTS_H_
#define REDWING_DELIVERY_INTERNAL_KEYED_REQUESTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "delivery/internal/idempotency_claims.h"
#include "delivery/internal/idempotency_table.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

class RequestTrail;
class UpstreamSender;
struct CarrierServices;
struct Delivery;
struct RequestContext;

// Runs requests with an idempotency key at most once: each key is bound to one
// process, which records the outcome of the request.
class KeyedRequests {
 public:
  // Sends the request to one candidate after another until one responds or no
  // further attempt is allowed.
  using DeliverFunction =
      std::function<Result<void>(Delivery& delivery, const Yield& yield)>;

  // `services`, `sender` and `trail` must outlive this object.
  KeyedRequests(const CarrierServices& services,
                UpstreamSender& sender,
                RequestTrail& trail,
                DeliverFunction deliver);

  // Handles a request with a key. Success means that the response was sent to
  // the caller.
  Result<void> Handle(Delivery& delivery, const Yield& yield);

  // Returns the epoch of the keys that are issued now.
  uint32_t epoch() const;

 private:
  Result<void> RunAsOwner(Delivery& delivery, const Yield& yield);
  Result<void> ForwardToOwner(Delivery& delivery,
                              const std::string& process_id,
                              const Yield& yield);

  void Log(const RequestContext& context, std::string_view decision) const;

  const CarrierServices& services_;
  UpstreamSender& sender_;
  RequestTrail& trail_;
  DeliverFunction deliver_;
  IdempotencyTable table_;
  IdempotencyClaims claims_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_KEYED_REQUESTS_H_
