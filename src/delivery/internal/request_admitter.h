#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_ADMITTER_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_ADMITTER_H_

#include <memory>
#include <string>

#include "delivery/header_dialect.h"
#include "delivery/internal/hop_token.h"
#include "delivery/internal/request_context.h"
#include "framework/errors/result.h"
#include "framework/http/http_types.h"
#include "framework/http/url.h"

namespace redwing {

class Freshness;
class HttpExchange;
class KeyRing;
class SteeringConfig;
struct Identity;

// How a caller says what it wants.
enum class Addressing {
  // The path names the service.
  kByService,
  // Host and path select a route.
  kByHost,
};

// Decides what a request is and whether it may go on: its service and route,
// whose key came with it, what that workspace may call.
class RequestAdmitter {
 public:
  RequestAdmitter(std::shared_ptr<Identity> identity,
                  std::shared_ptr<SteeringConfig> config,
                  std::shared_ptr<KeyRing> keys,
                  std::shared_ptr<Freshness> freshness,
                  const HopSigner& signer,
                  const HeaderDialect& dialect);

  // `point` chooses among the services of a split route, 0 to 1. Failures are
  // kNotRun.
  Result<RequestContext> Admit(const HttpExchange& exchange,
                               Addressing addressing,
                               double point) const;

  // Builds the header for a target: no key, nothing of the caller's that names
  // a workspace or is internal, no hop-by-hop fields.
  RequestHeader TargetHeader(const RequestContext& context,
                             const HttpExchange& exchange) const;

 private:
  Result<void> FindRoute(const HttpExchange& exchange,
                         const Url& url,
                         RequestContext* context) const;
  Result<void> FindHostRoute(const HttpExchange& exchange,
                             double point,
                             RequestContext* context) const;
  // Finds the route that the forwarding entry has found.
  Result<void> FindForwardedRoute(const HopToken& token,
                                  RequestContext* context) const;
  Result<void> CheckCaller(const HttpExchange& exchange,
                           const Url& url,
                           RequestContext* context) const;
  Result<void> CheckHostCaller(const HttpExchange& exchange,
                               RequestContext* context) const;
  // Finds the workspace whose key came with a request.
  Result<void> CheckKey(const std::string& key, RequestContext* context) const;
  std::string RequestIdOf(const HttpExchange& exchange,
                          const std::string& key) const;
  Result<void> CheckHop(const HttpExchange& exchange,
                        const HopToken& token,
                        RequestContext* context) const;
  void SetDeadline(const HttpExchange& exchange, RequestContext* context) const;

  std::shared_ptr<Identity> identity_;
  std::shared_ptr<SteeringConfig> config_;
  std::shared_ptr<KeyRing> keys_;
  std::shared_ptr<Freshness> freshness_;
  const HopSigner& signer_;
  const HeaderDialect& dialect_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_ADMITTER_H_
