#include "delivery/internal/request_admitter.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>

#include "config/freshness.h"
#include "config/steering_config.h"
#include "delivery/internal/caller_key.h"
#include "delivery/internal/header_rules.h"
#include "delivery/request_handler.h"
#include "framework/http/http_exchange.h"
#include "framework/wire/digest.h"
#include "keys/key_ring.h"
#include "membership/identity.h"

namespace redwing {

namespace {

constexpr size_t kMaxRequestId = 128;
constexpr size_t kMaxIdempotencyKey = 256;
constexpr size_t kRequestIdBytes = 12;

std::string_view RemovePort(std::string_view host) {
  const size_t colon = host.rfind(':');
  const bool bracketed = !host.empty() && host.back() == ']';
  return colon == std::string_view::npos || bracketed ? host
                                                      : host.substr(0, colon);
}

bool IsPlainText(std::string_view text, size_t max_size) {
  return !text.empty() && text.size() <= max_size &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return std::isgraph(static_cast<unsigned char>(c)) != 0;
         });
}

}  // namespace

RequestAdmitter::RequestAdmitter(std::shared_ptr<Identity> identity,
                                 std::shared_ptr<SteeringConfig> config,
                                 std::shared_ptr<KeyRing> keys,
                                 std::shared_ptr<Freshness> freshness,
                                 const HopSigner& signer,
                                 const HeaderDialect& dialect)
    : identity_(std::move(identity)),
      config_(std::move(config)),
      keys_(std::move(keys)),
      freshness_(std::move(freshness)),
      signer_(signer),
      dialect_(dialect) {}

Result<RequestContext> RequestAdmitter::Admit(const HttpExchange& exchange,
                                              Addressing addressing,
                                              double point) const {
  const bool by_host = addressing == Addressing::kByHost;
  const bool hop = !by_host && !exchange.Header(kHopField).empty();
  const Result<HopToken> token = hop ? ReadHop(exchange) : HopToken();
  if (!token) {
    return token.error();
  }
  if (!config_->ready()) {
    return NotRun(Errc::kNotReady, "this instance has no configuration yet",
                  Milliseconds(1000));
  }
  const std::optional<Url> url = ParseTarget(exchange.target());
  if (!url) {
    return NotRun(Errc::kMalformedRequest, "malformed request target");
  }
  RequestContext context;
  context.document = config_->document();
  context.begun = Clock::now();
  // The server accepts longer heads of forwarded requests.
  const size_t head_limit = context.document->caller_limits().header_bytes;
  if (!hop && exchange.head_bytes() > head_limit) {
    return NotRun(Errc::kHeaderTooLarge,
                  fmt::format("the request head exceeds {} bytes", head_limit));
  }
  const Result<void> routed =
      by_host ? FindHostRoute(exchange, point, &context)
      : !token.value().host_route.empty()
          ? FindForwardedRoute(exchange, token.value(), &context)
          : FindRoute(exchange, *url, &context);
  if (!routed) {
    return routed.error();
  }
  SetDeadline(exchange, &context);
  const Result<void> checked = hop ? CheckHop(exchange, token.value(), &context)
                               : by_host
                                   ? CheckHostCaller(exchange, &context)
                                   : CheckCaller(exchange, *url, &context);
  if (!checked) {
    return checked.error();
  }
  context.affinity_key = exchange.Header(dialect_.affinity_key);
  context.idempotency_key = exchange.Header("Idempotency-Key");
  if (!context.idempotency_key.empty() &&
      !IsPlainText(context.idempotency_key, kMaxIdempotencyKey)) {
    return NotRun(Errc::kMalformedRequest, "malformed Idempotency-Key");
  }
  const std::optional<uint64_t> length = exchange.content_length();
  if (length && *length > context.route->max_request_bytes) {
    return NotRun(
        Errc::kBodyTooLarge,
        fmt::format("the request body exceeds the route's limit of {} bytes",
                    context.route->max_request_bytes));
  }
  return context;
}

RequestHeader RequestAdmitter::TargetHeader(
    const RequestContext& context,
    const HttpExchange& exchange) const {
  const std::optional<Url> url = ParseTarget(exchange.target());
  const Result<std::string> key = FindCallerKey(exchange.request(), *url);
  RequestHeader header = exchange.request();
  RemoveHopByHopFields(&header);
  RemoveKeyFields(&header, key ? key.value() : "");
  RemoveInternalFields(&header);
  header.erase(dialect_.caller_timeout);
  header.erase(dialect_.workspace);
  if (!dialect_.target_instance.empty()) {
    header.erase(dialect_.target_instance);
  }
  header.version(11);
  header.target(BeastView(context.target));
  header.set(BeastView(dialect_.request_id), context.request_id);
  if (context.workspace != nullptr) {
    header.set(BeastView(dialect_.workspace), context.workspace->name);
  }
  // Uses the caller's original header, because a small body has been read ahead
  // by now.
  if (exchange.request().count(http::field::transfer_encoding) > 0) {
    header.set(http::field::transfer_encoding, "chunked");
  }
  return header;
}

Result<void> RequestAdmitter::FindHostRoute(const HttpExchange& exchange,
                                            double point,
                                            RequestContext* context) const {
  const std::string_view target = exchange.target();
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view host =
      RemovePort(StdView(exchange.request()[http::field::host]));
  const HostRoute* const found = context->document->FindHostRoute(host, path);
  if (found == nullptr) {
    return NotRun(Errc::kUnknownRoute,
                  fmt::format("no route for host \"{}\" and this path", host));
  }
  context->host_route = found;
  context->route = &found->route;
  context->target = target;
  context->max_attempts = found->route.max_attempts;
  const std::string& service = found->ServiceAt(point);
  context->service = context->document->FindService(service);
  if (context->service == nullptr) {
    return NotRun(
        Errc::kNoTarget,
        fmt::format("service \"{}\" is not in this instance's configuration",
                    service),
        Milliseconds(1000));
  }
  return boost::outcome_v2::success();
}

Result<void> RequestAdmitter::FindForwardedRoute(
    const HttpExchange& exchange,
    const HopToken& token,
    RequestContext* context) const {
  context->host_route =
      context->document->FindHostRouteByName(token.host_route);
  context->service = context->document->FindService(token.service);
  if (context->host_route == nullptr || context->service == nullptr) {
    // The forwarding instance has another revision of the configuration.
    return NotRun(Errc::kNotReady,
                  "the route is not in this instance's configuration");
  }
  context->route = &context->host_route->route;
  context->target =
      TargetOf(token, RequestHandler::kPathPrefix, exchange.target());
  return boost::outcome_v2::success();
}

Result<void> RequestAdmitter::FindRoute(const HttpExchange& exchange,
                                        const Url& url,
                                        RequestContext* context) const {
  const std::string_view path =
      exchange.target().substr(RequestHandler::kPathPrefix.size());
  const size_t name_end = path.find_first_of("/?");
  const std::string_view name = path.substr(0, name_end);
  context->service = context->document->FindService(name);
  if (context->service == nullptr) {
    return NotRun(Errc::kUnknownService,
                  fmt::format("service \"{}\" does not exist", name));
  }
  // The target receives the path as the caller wrote it, including escapes.
  const size_t raw_start = RequestHandler::kPathPrefix.size() + name.size();
  const std::string_view raw = exchange.target().substr(
      raw_start, exchange.target().find('?') - raw_start);
  context->target = raw.empty() ? "/" : std::string(raw);
  const std::string decoded = url.path.substr(raw_start);
  bool path_known = false;
  context->route = context->service->FindRoute(
      exchange.method(), decoded.empty() ? "/" : decoded, &path_known);
  if (context->route == nullptr) {
    return path_known
               ? NotRun(Errc::kMethodNotAllowed,
                        "the route does not allow this method")
               : NotRun(Errc::kUnknownRoute,
                        fmt::format("service \"{}\" has no route for the path",
                                    name));
  }
  return boost::outcome_v2::success();
}

Result<void> RequestAdmitter::CheckCaller(const HttpExchange& exchange,
                                          const Url& url,
                                          RequestContext* context) const {
  const Result<std::string> key = FindCallerKey(exchange.request(), url);
  if (!key) {
    return key.error();
  }
  if (ContainsKey(context->target, key.value())) {
    return NotRun(Errc::kMalformedRequest,
                  "the request path contains the API key");
  }
  context->target += QueryWithoutKey(url, key.value());
  context->request_id = RequestIdOf(exchange, key.value());
  if (context->route->open) {
    return boost::outcome_v2::success();
  }
  return CheckKey(key.value(), context);
}

Result<void> RequestAdmitter::CheckHostCaller(const HttpExchange& exchange,
                                              RequestContext* context) const {
  const std::string key = FindBearerKey(exchange.request());
  if (ContainsKey(context->target, key)) {
    return NotRun(Errc::kMalformedRequest,
                  "the request target contains the API key");
  }
  context->request_id = RequestIdOf(exchange, key);
  if (!context->route->open) {
    return CheckKey(key, context);
  }
  // On an open route a key only identifies the workspace of the request; an
  // invalid one is ignored.
  if (!key.empty() && !CheckKey(key, context)) {
    context->workspace = nullptr;
    context->key_id.clear();
  }
  return boost::outcome_v2::success();
}

std::string RequestAdmitter::RequestIdOf(const HttpExchange& exchange,
                                         const std::string& key) const {
  const std::string_view given = exchange.Header(dialect_.request_id);
  return IsPlainText(given, kMaxRequestId) && !ContainsKey(given, key)
             ? std::string(given)
             : RandomHex(kRequestIdBytes);
}

Result<void> RequestAdmitter::CheckKey(const std::string& key,
                                       RequestContext* context) const {
  const Result<const KeyRecord*> record = keys_->Check(key);
  if (!record) {
    return record.error();
  }
  context->key_id = record.value()->id;
  context->workspace =
      context->document->FindWorkspace(record.value()->workspace);
  if (context->workspace == nullptr ||
      !context->workspace->MayCall(context->service->name,
                                   context->route->name)) {
    return NotRun(Errc::kWorkspaceNotAllowed,
                  "the workspace may not call this route");
  }
  if (!context->allow_stale() && !freshness_->IsFresh(Clock::now())) {
    return NotRun(Errc::kStale,
                  "this instance's state is stale; "
                  "use an instance of another region",
                  Milliseconds(1000));
  }
  return boost::outcome_v2::success();
}

Result<HopToken> RequestAdmitter::ReadHop(const HttpExchange& exchange) const {
  const Result<HopToken> token = signer_.Verify(exchange.Header(kHopField));
  if (!token) {
    return token.error();
  }
  const Result<void> addressed =
      CheckAddressee(token.value(), identity_->process_id, exchange.method(),
                     exchange.target());
  if (!addressed) {
    return addressed.error();
  }
  return token;
}

Result<void> RequestAdmitter::CheckHop(const HttpExchange& exchange,
                                       const HopToken& token,
                                       RequestContext* context) const {
  const size_t question = exchange.target().find('?');
  if (question != std::string_view::npos && token.host_route.empty()) {
    context->target += exchange.target().substr(question);
  }
  context->request_id = token.request_id;
  context->max_attempts = static_cast<int>(token.attempts);
  context->required_target = token.required_target;
  context->begun -= Milliseconds(token.age_ms);
  context->from_region = token.from_region;
  context->owner_hop = token.owner_hop;
  context->must_run_once = token.runs_once;
  context->key_registered = token.key_registered;
  context->key_id = token.key_id;
  context->deadline = std::min<TimePoint>(
      context->deadline, Clock::now() + Milliseconds(token.remaining_ms));
  if (!token.workspace.empty()) {
    context->workspace = context->document->FindWorkspace(token.workspace);
    if (context->workspace == nullptr) {
      return NotRun(Errc::kWorkspaceNotAllowed,
                    "the workspace is not in this instance's configuration");
    }
  } else if (!context->route->open) {
    return NotRun(Errc::kWorkspaceNotAllowed, "the route requires an API key");
  }
  if (!context->key_id.empty() && keys_->IsWithdrawn(context->key_id)) {
    return NotRun(Errc::kKeyWithdrawn, "the key was withdrawn");
  }
  return boost::outcome_v2::success();
}

void RequestAdmitter::SetDeadline(const HttpExchange& exchange,
                                  RequestContext* context) const {
  Milliseconds timeout = context->route->timeout;
  const std::string_view text = exchange.Header(dialect_.caller_timeout);
  int64_t wanted = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), wanted);
  if (parsed.ec == std::errc() && wanted > 0) {
    timeout = std::min(timeout, Milliseconds(wanted));
  }
  context->deadline = Clock::now() + timeout;
}

}  // namespace redwing
