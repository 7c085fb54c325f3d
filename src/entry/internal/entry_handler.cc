#include "entry/internal/entry_handler.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

#include "budget/budgets.h"
#include "config/freshness.h"
#include "config/replicated_state.h"
#include "config/steering_config.h"
#include "config/withdrawals.h"
#include "delivery/request_handler.h"
#include "entry/internal_call.h"
#include "framework/http/http_exchange.h"
#include "framework/http/metrics_handler.h"
#include "framework/http/refusal.h"
#include "framework/http/url.h"
#include "framework/kernel/sleep.h"
#include "framework/metrics/metrics.h"
#include "framework/wire/json_text.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/entry_lookup.h"
#include "routing/target_router.h"
#include "steering/steering_document.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr std::string_view kJson = "application/json";
constexpr Milliseconds kWithdrawWait{3000};
constexpr Milliseconds kWithdrawPoll{20};

json MembersJson(const Membership& membership) {
  json members = json::array();
  const TimePoint now = Clock::now();
  for (const auto& [name, member] : membership.members()) {
    members.push_back(
        {{"instance", name},
         {"region", member.region},
         {"failure_domain", member.failure_domain},
         {"state", MemberStateName(member.state)},
         {"listed", member.listed},
         {"http_address", member.http_address},
         {"heard_ms_ago",
          std::chrono::duration_cast<Milliseconds>(now - member.last_seen)
              .count()}});
  }
  return members;
}

// Versions as numbers, which equal the revisions until the store is restored.
json RevisionsJson(const ReplicatedState& state) {
  json revisions = json::object();
  for (const auto& [name, version] : state.Versions()) {
    revisions[name] = version.packed();
  }
  return revisions;
}

json BudgetsJson(Budgets& budgets) {
  json list = json::array();
  for (const BudgetStatus& budget : budgets.Status()) {
    list.push_back({{"name", budget.name},
                    {"rate", budget.rate},
                    {"burst", budget.burst},
                    {"own_share", budget.own_share},
                    {"lent_share", budget.lent_share},
                    {"borrowed_share", budget.borrowed_share},
                    {"tokens", budget.tokens},
                    {"demand", budget.demand},
                    {"waiting", budget.waiting},
                    {"spent", budget.spent},
                    {"refused", budget.refused}});
  }
  return list;
}

json TargetsJson(const TargetRouter& router) {
  json list = json::array();
  for (const TargetStatus& target : router.Status()) {
    list.push_back({{"name", target.name},
                    {"service", target.service},
                    {"slots", target.slots},
                    {"outstanding", target.outstanding},
                    {"closed", target.closed},
                    {"ejected", target.ejected},
                    {"latency_ms", target.latency_ms}});
  }
  return list;
}

json WithdrawalJson(const std::string& id, const WithdrawalStatus& status) {
  return {{"key_id", id},
          {"in_force", status.in_force()},
          {"acknowledged", status.acknowledged},
          {"listed", status.listed},
          {"stored", status.stored},
          {"missing_regions", status.missing_regions}};
}

}  // namespace

EntryHandler::EntryHandler(boost::asio::io_context& io,
                           EntryServices services,
                           std::vector<std::string> secrets)
    : io_(io),
      services_(std::move(services)),
      secrets_(std::move(secrets)),
      lookups_(services_.metrics->Get("redwing_lookups_total",
                                      "Look-ups answered, in look-ups")) {}

void EntryHandler::Handle(HttpExchange& exchange, const Yield& yield) {
  const std::string_view target = exchange.target();
  if (target.substr(0, RequestHandler::kPathPrefix.size()) ==
      RequestHandler::kPathPrefix) {
    services_.requests->HandleByService(exchange, yield);
    return;
  }
  const std::optional<Url> url = ParseTarget(target);
  if (!url) {
    SendRefusal(exchange,
                NotRun(Errc::kMalformedRequest, "malformed request target"),
                yield);
    return;
  }
  const std::vector<Endpoint>& endpoints = Endpoints();
  const auto endpoint =
      std::find_if(endpoints.begin(), endpoints.end(),
                   [&url](const Endpoint& e) { return e.path == url->path; });
  if (endpoint == endpoints.end()) {
    SendRefusal(exchange, NotRun(Errc::kUnknownRoute, "no such path"), yield);
    return;
  }
  if (endpoint->internal && !Authorized(exchange)) {
    SendRefusal(exchange, NotRun(Errc::kForbidden, "not signed"), yield);
    return;
  }
  (this->*endpoint->method)(exchange, *url, yield);
}

const std::vector<EntryHandler::Endpoint>& EntryHandler::Endpoints() {
  static const std::vector<Endpoint> endpoints = {
      {"/v1/entry", &EntryHandler::LookUp, false},
      {"/healthz", &EntryHandler::Health, false},
      {"/readyz", &EntryHandler::Ready, false},
      {"/metrics", &EntryHandler::ShowMetrics, false},
      {"/internal/v1/status", &EntryHandler::Status, true},
      {"/internal/v1/withdraw", &EntryHandler::Withdraw, true},
      {"/internal/v1/decisions", &EntryHandler::Decisions, true},
  };
  return endpoints;
}

void EntryHandler::LookUp(HttpExchange& exchange,
                          const Url& url,
                          const Yield& yield) {
  for (const QueryParameter& parameter : url.query) {
    if (parameter.name != "service" && parameter.name != "region" &&
        parameter.name != "client") {
      SendRefusal(exchange,
                  NotRun(Errc::kMalformedRequest,
                         "unknown parameter \"" + parameter.name + "\""),
                  yield);
      return;
    }
  }
  const std::optional<std::string> service = url.Query("service");
  if (!service) {
    SendRefusal(
        exchange,
        NotRun(Errc::kMalformedRequest, "the parameter \"service\" is missing"),
        yield);
    return;
  }
  if (!services_.config->ready()) {
    SendRefusal(
        exchange,
        NotRun(Errc::kNotReady, "this instance has no configuration yet",
               Milliseconds(1000)),
        yield);
    return;
  }
  const Result<std::string> region = CallerRegion(url);
  if (!region) {
    SendRefusal(exchange, region.error(), yield);
    return;
  }
  const Result<std::string> answer =
      services_.lookup->LookUp(*service, region.value());
  if (!answer) {
    SendRefusal(exchange, answer.error(), yield);
    return;
  }
  lookups_.Add();
  exchange.Respond(200, kJson, answer.value(), yield);
}

Result<std::string> EntryHandler::CallerRegion(const Url& url) const {
  const std::optional<std::string> client = url.Query("client");
  const std::string named = url.Query("region").value_or("");
  if (!client || !named.empty()) {
    return named;
  }
  boost::system::error_code ec;
  const boost::asio::ip::address address =
      boost::asio::ip::make_address(*client, ec);
  if (ec) {
    return NotRun(Errc::kMalformedRequest,
                  "the parameter \"client\" is not an IP address");
  }
  return std::string(services_.config->document()->clients().Find(address));
}

void EntryHandler::Health(HttpExchange& exchange,
                          const Url& /*url*/,
                          const Yield& yield) {
  exchange.Respond(200, kJson, R"({"status":"ok"})", yield);
}

void EntryHandler::Ready(HttpExchange& exchange,
                         const Url& /*url*/,
                         const Yield& yield) {
  json reasons = json::array();
  if (!services_.state->complete()) {
    reasons.push_back(
        "no configuration: neither the store nor a complete peer was read");
  } else if (!services_.config->ready()) {
    reasons.push_back("the configuration has no services");
  }
  if (!services_.freshness->IsFresh(Clock::now())) {
    reasons.push_back(
        "out of touch: neither the store nor a majority of instances was "
        "heard within the freshness limit");
  }
  if (services_.membership->leaving()) {
    reasons.push_back("leaving");
  }
  const bool ready = reasons.empty();
  exchange.Respond(ready ? 200 : 503, kJson,
                   JsonText({{"ready", ready}, {"reasons", reasons}}), yield);
}

void EntryHandler::ShowMetrics(HttpExchange& exchange,
                               const Url& /*url*/,
                               const Yield& yield) {
  MetricsHandler(services_.metrics).Handle(exchange, yield);
}

void EntryHandler::Status(HttpExchange& exchange,
                          const Url& /*url*/,
                          const Yield& yield) {
  const json status = {{"instance", services_.identity->name},
                       {"region", services_.identity->region},
                       {"failure_domain", services_.identity->failure_domain},
                       {"process", services_.identity->process_id},
                       {"ready", services_.config->ready()},
                       {"fresh", services_.freshness->IsFresh(Clock::now())},
                       {"leaving", services_.membership->leaving()},
                       {"load_permille", services_.router->LoadPermille()},
                       {"revisions", RevisionsJson(*services_.state)},
                       {"members", MembersJson(*services_.membership)},
                       {"budgets", BudgetsJson(*services_.budgets)},
                       {"targets", TargetsJson(*services_.router)}};
  exchange.Respond(200, kJson, JsonText(status), yield);
}

void EntryHandler::Withdraw(HttpExchange& exchange,
                            const Url& url,
                            const Yield& yield) {
  const std::optional<std::string> id = url.Query("key_id");
  if (!id || exchange.request().method() != http::verb::post) {
    SendRefusal(exchange,
                NotRun(Errc::kMalformedRequest, "POST with \"key_id\""), yield);
    return;
  }
  const int64_t at_ms = std::chrono::duration_cast<Milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  services_.withdrawals->Withdraw({*id, url.Query("by").value_or(""), at_ms});
  const TimePoint give_up = Clock::now() + kWithdrawWait;
  WithdrawalStatus status = services_.withdrawals->StatusOf(*id);
  while (!status.in_force() && Clock::now() < give_up) {
    SleepFor(io_, kWithdrawPoll, yield);
    status = services_.withdrawals->StatusOf(*id);
  }
  exchange.Respond(200, kJson, JsonText(WithdrawalJson(*id, status)), yield);
}

void EntryHandler::Decisions(HttpExchange& exchange,
                             const Url& url,
                             const Yield& yield) {
  const std::optional<std::string> id = url.Query("request");
  if (!id) {
    SendRefusal(
        exchange,
        NotRun(Errc::kMalformedRequest, "the parameter \"request\" is missing"),
        yield);
    return;
  }
  json decisions = json::array();
  for (const RequestDecision& decision : services_.requests->DecisionsOn(*id)) {
    decisions.push_back({{"at_ms", decision.at_ms}, {"text", decision.text}});
  }
  const json answer = {{"instance", services_.identity->name},
                       {"region", services_.identity->region},
                       {"decisions", std::move(decisions)}};
  exchange.Respond(200, kJson, JsonText(answer), yield);
}

bool EntryHandler::Authorized(const HttpExchange& exchange) const {
  return VerifyInternalCall(secrets_, exchange.method(), exchange.target(),
                            exchange.Header(kInternalCallField));
}

}  // namespace redwing
