#ifndef REDWING_ENTRY_INTERNAL_ENTRY_HANDLER_H_
#define REDWING_ENTRY_INTERNAL_ENTRY_HANDLER_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/http_handler.h"

namespace redwing {

class Budgets;
class Counter;
class EntryLookup;
class Freshness;
class Membership;
class Metrics;
class ReplicatedState;
class RequestHandler;
class SteeringConfig;
class TargetRouter;
class Withdrawals;
struct Identity;
struct Url;

// Services that an EntryHandler uses.
struct EntryServices {
  std::shared_ptr<Identity> identity;
  std::shared_ptr<Metrics> metrics;
  std::shared_ptr<EntryLookup> lookup;
  std::shared_ptr<RequestHandler> requests;
  std::shared_ptr<SteeringConfig> config;
  std::shared_ptr<ReplicatedState> state;
  std::shared_ptr<Freshness> freshness;
  std::shared_ptr<Membership> membership;
  std::shared_ptr<Budgets> budgets;
  std::shared_ptr<TargetRouter> router;
  std::shared_ptr<Withdrawals> withdrawals;
};

// Answers every HTTP request of an entry instance, by path: look-ups, requests
// for services, health and metrics, and the signed calls of redwing-admin.
class EntryHandler : public HttpHandler {
 public:
  EntryHandler(boost::asio::io_context& io,
               EntryServices services,
               std::vector<std::string> secrets);

  void Handle(HttpExchange& exchange, const Yield& yield) override;

 private:
  using Method = void (EntryHandler::*)(HttpExchange&,
                                        const Url&,
                                        const Yield&);
  struct Endpoint {
    std::string_view path;
    Method method;
    bool internal;
  };
  static const std::vector<Endpoint>& Endpoints();

  void LookUp(HttpExchange& exchange, const Url& url, const Yield& yield);
  // The region that a look-up asks for: named, or that of the client's block;
  // empty when neither is given.
  Result<std::string> CallerRegion(const Url& url) const;
  void Health(HttpExchange& exchange, const Url& url, const Yield& yield);
  void Ready(HttpExchange& exchange, const Url& url, const Yield& yield);
  void ShowMetrics(HttpExchange& exchange, const Url& url, const Yield& yield);
  void Status(HttpExchange& exchange, const Url& url, const Yield& yield);
  void Withdraw(HttpExchange& exchange, const Url& url, const Yield& yield);
  // Lists what this instance decided on a request.
  void Decisions(HttpExchange& exchange, const Url& url, const Yield& yield);

  bool Authorized(const HttpExchange& exchange) const;

  boost::asio::io_context& io_;
  EntryServices services_;
  std::vector<std::string> secrets_;
  Counter& lookups_;
};

}  // namespace redwing

#endif  // REDWING_ENTRY_INTERNAL_ENTRY_HANDLER_H_
