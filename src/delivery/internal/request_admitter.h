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

// How a request identifies its service.
enum class Addressing {
  // The path names the service.
  kByService,
  // Host and path select a route.
  kByHost,
};

// Admits requests: determines the service, the route and the workspace of a
// request, and whether the workspace may call the route.
class RequestAdmitter {
 public:
  RequestAdmitter(std::shared_ptr<Identity> identity,
                  std::shared_ptr<SteeringConfig> config,
                  std::shared_ptr<KeyRing> keys,
                  std::shared_ptr<Freshness> freshness,
                  const HopSigner& signer,
                  const HeaderDialect& dialect);

  // Returns the context of an admitted request. `point`, 0 to 1, selects among
  // the services of a split route. All failures are kNotRun.
  Result<RequestContext> Admit(const HttpExchange& exchange,
                               Addressing addressing,
                               double point) const;

  // Builds the header for a target, without keys, hop-by-hop fields, and
  // workspace or internal fields set by the caller.
  RequestHeader TargetHeader(const RequestContext& context,
                             const HttpExchange& exchange) const;

 private:
  Result<void> FindRoute(const HttpExchange& exchange,
                         const Url& url,
                         RequestContext* context) const;
  Result<void> FindHostRoute(const HttpExchange& exchange,
                             double point,
                             RequestContext* context) const;
  // Finds the route that the forwarding instance has selected.
  Result<void> FindForwardedRoute(const HttpExchange& exchange,
                                  const HopToken& token,
                                  RequestContext* context) const;
  Result<void> CheckCaller(const HttpExchange& exchange,
                           const Url& url,
                           RequestContext* context) const;
  Result<void> CheckHostCaller(const HttpExchange& exchange,
                               RequestContext* context) const;
  // Checks a key and sets the workspace that it belongs to.
  Result<void> CheckKey(const std::string& key, RequestContext* context) const;
  std::string RequestIdOf(const HttpExchange& exchange,
                          const std::string& key) const;
  // Reads the hop token of a forwarded request that is addressed to this
  // process.
  Result<HopToken> ReadHop(const HttpExchange& exchange) const;
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
