#ifndef REDWING_DELIVERY_REQUEST_HANDLER_H_
#define REDWING_DELIVERY_REQUEST_HANDLER_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "delivery/request_decision.h"
#include "framework/http/http_types.h"

namespace redwing {

class HttpExchange;

// Carries requests for services.
class RequestHandler {
 public:
  static constexpr std::string_view kServiceName = "request_handler";
  // Requests for a service have this path, the service's name, and the path
  // that its target is to see.
  static constexpr std::string_view kPathPrefix = "/v1/services/";

  virtual ~RequestHandler() = default;

  // Carries one request whose path begins with kPathPrefix.
  virtual void Carry(HttpExchange& exchange, const Yield& yield) = 0;

  // Carries one request whose route is selected by host and path.
  virtual void CarryByHost(HttpExchange& exchange, const Yield& yield) = 0;

  // Epoch of the idempotency keys accepted now.
  virtual uint32_t key_epoch() const = 0;

  // Returns the latest decisions on a request by this instance, oldest first;
  // nothing once newer ones have taken their places.
  virtual std::vector<RequestDecision> DecisionsOn(
      std::string_view request_id) const = 0;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_REQUEST_HANDLER_H_
