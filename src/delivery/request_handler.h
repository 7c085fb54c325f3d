#ifndef REDWING_DELIVERY_REQUEST_HANDLER_H_
#define REDWING_DELIVERY_REQUEST_HANDLER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "delivery/request_decision.h"
#include "framework/http/http_types.h"

namespace redwing {

class HttpExchange;

// Handles callers' requests for services.
class RequestHandler {
 public:
  static constexpr std::string_view kServiceName = "request_handler";
  // Path prefix of requests for a service; it is followed by the service's name
  // and by the path that the target receives.
  static constexpr std::string_view kPathPrefix = "/v1/services/";

  // Upper bound of what forwarding adds to the head of a request.
  static constexpr size_t kMaxForwardingBytes = 16 * 1024;

  virtual ~RequestHandler() = default;

  // Handles one request whose path begins with kPathPrefix.
  virtual void HandleByService(HttpExchange& exchange, const Yield& yield) = 0;

  // Handles one request whose route is selected by host and path.
  virtual void HandleByHost(HttpExchange& exchange, const Yield& yield) = 0;

  // Returns the current epoch of idempotency keys, for prefixes issued now.
  virtual uint32_t key_epoch() const = 0;

  // Returns this instance's recent decisions on a request, oldest first; empty
  // if there were none or newer decisions have replaced them.
  virtual std::vector<RequestDecision> DecisionsOn(
      std::string_view request_id) const = 0;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_REQUEST_HANDLER_H_
