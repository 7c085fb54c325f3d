#ifndef REDWING_DELIVERY_INTERNAL_UPSTREAM_ATTEMPT_H_
#define REDWING_DELIVERY_INTERNAL_UPSTREAM_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "delivery/header_dialect.h"
#include "delivery/internal/attempt_end.h"
#include "delivery/internal/hop_digest.h"
#include "delivery/internal/idempotency_table.h"
#include "delivery/internal/link_pacer.h"
#include "framework/errors/result.h"
#include "framework/http/connection_pool.h"
#include "framework/http/content_digest.h"
#include "framework/http/http_types.h"
#include "membership/target_start.h"
#include "routing/target_load.h"

namespace redwing {

class Budgets;
class Cancellation;
class HttpExchange;
class Metrics;
class RequestBody;
struct TargetNotice;

// Parameters of one attempt at an upstream: a target or another instance.
struct AttemptPlan {
  boost::asio::ip::tcp::endpoint endpoint;
  RequestHeader header;
  TimePoint deadline;
  // Whether the upstream is another instance, whose refusals carry a verdict.
  bool to_instance = false;
  // Whether the caller is another instance, which checks the response's body.
  bool from_instance = false;
  // Whether the upstream echoes the attempt's id in its responses.
  bool expects_echo = false;
  // Link budgets by which the bytes are paced; empty for none.
  std::string request_link;
  // Bytes of the request's body that are already charged to request_link.
  double request_prepaid = 0;
  std::string response_link;
  // Bytes of the response that are already charged to response_link.
  double response_prepaid = 0;
  // Whether to buffer the complete response before anything is sent to the
  // caller.
  bool collect = false;
  std::string request_id;
  // Whether the request must not run more than once.
  bool runs_once = false;
  // Called once a connection is open; if it fails, the request is not sent and
  // the attempt fails with its error, kNotRun. Empty: the request is sent.
  std::function<Result<void>()> before_send;
  // Called with what a target's response reports about the target, before any
  // of the response is relayed.
  std::function<void(const TargetNotice&)> on_notice;
  // Called with a target's departure that another instance's response reports.
  std::function<void(const TargetStart&)> on_departure;
};

// What the log says of an attempt.
struct AttemptTrace {
  // Id of the connection and number of the exchange on it; 0 if none was open.
  uint64_t connection = 0;
  int exchange = 0;
  // Status of the response; 0 without a response.
  unsigned status = 0;
  AttemptEnd end = AttemptEnd::kNotSent;
};

// Sends a request to an upstream and relays its response to the caller.
class UpstreamAttempt {
 public:
  UpstreamAttempt(ConnectionPool& pool,
                  Budgets& budgets,
                  Metrics& metrics,
                  const HeaderDialect& dialect,
                  AttemptPlan plan)
      : pool_(pool),
        metrics_(metrics),
        dialect_(dialect),
        plan_(std::move(plan)),
        request_pacer_(budgets, plan_.request_link, plan_.request_prepaid),
        response_pacer_(budgets, plan_.response_link, plan_.response_prepaid) {}

  // Runs the attempt, which ends early if it is cancelled. Success means that
  // the response was sent to the caller, complete or visibly aborted; or, with
  // plan.collect, that stored_response() holds it. A failure means that none of
  // a response was sent; its verdict is that of trace().end.
  Result<void> Run(RequestBody& body,
                   HttpExchange& exchange,
                   Cancellation& cancellation,
                   const Yield& yield);

  std::optional<StoredResponse>& stored_response() { return stored_response_; }
  const AttemptTrace& trace() const { return trace_; }
  // Returns whether the header of a response arrived.
  bool responded() const { return responded_; }
  // Returns whether the upstream's response was truncated after its header.
  bool truncated() const { return truncated_; }
  // Returns whether the response is a server error.
  bool server_error() const { return server_error_; }
  // Returns the time taken to open a connection; std::nullopt if an open
  // connection was reused.
  std::optional<Milliseconds> connect_time() const {
    return connection_ ? connection_->fresh_connect_time() : std::nullopt;
  }
  // Returns the load that the target reported; std::nullopt if it reported
  // none.
  const std::optional<TargetLoad>& load() const { return load_; }

 private:
  Result<void> Exchange(RequestBody& body,
                        HttpExchange& exchange,
                        Cancellation& cancellation,
                        const Yield& yield);
  Result<void> Send(RequestBody& body, const Yield& yield);
  Result<void> SendPiece(std::string_view piece, bool last, const Yield& yield);
  // Reads the response's header and turns refusals into failures.
  Result<void> ReadHeader(const Yield& yield);
  // Process the response header of another instance and of a target.
  Result<void> ReadInstanceHeader(const Yield& yield);
  Result<void> ReadTargetHeader(const Yield& yield);
  Failure ReadRefusal(const Yield& yield);
  // Reads and discards a response to an earlier request on the connection that
  // the target has written once more. Returns false if the response is none, or
  // its end is not found.
  bool SkipEarlierResponse(const Yield& yield);
  // Reads and discards the body of a response; returns whether it has ended in
  // bounds.
  bool DiscardBody(const Yield& yield);
  // Records how the attempt ended and returns its failure.
  Failure EndAs(AttemptEnd end);
  // Reads and discards the body of a response which states that nothing was
  // run. Closes the connection if the body is long or late, or if a copy of the
  // response could not be told from the next response.
  void SkipBody(const Yield& yield);
  // Returns whether responses are matched by the request's id, which all
  // attempts of the request share.
  bool MatchesByRequestId() const;
  // Returns whether the response names the request or the attempt it is for.
  bool IsMatched() const;
  // Returns whether the response belongs to this attempt.
  bool IsResponseToAttempt() const;
  Result<void> Relay(HttpExchange& exchange, const Yield& yield);
  // Returns whether to buffer the complete body before sending the header,
  // which then contains the body's hash.
  bool NeedsBodyHash() const;
  // Appends the next piece of the response's body.
  Result<void> ReadPiece(std::string* body, const Yield& yield);
  Result<void> Collect(HttpExchange& exchange, const Yield& yield);
  // Sends `buffered` and the rest of the response's body to the caller. With
  // plan.collect, a response that has not ended by the deadline is aborted.
  void StreamRest(HttpExchange& exchange,
                  std::string_view buffered,
                  const Yield& yield);
  // Adds the next piece of the response's body to the digests. Returns whether
  // it may be sent to the caller: false if the complete body does not match a
  // digest in its header.
  bool BodyMatchesDigests(std::string_view piece, bool last);
  // Aborts a response that has begun, so that the caller detects that it is
  // truncated.
  void AbortResponse(HttpExchange& exchange);
  ResponseHeader CallerHeader() const;

  ConnectionPool& pool_;
  Metrics& metrics_;
  const HeaderDialect& dialect_;
  AttemptPlan plan_;
  LinkPacer request_pacer_;
  LinkPacer response_pacer_;
  ConnectionPool::ConnectionPtr connection_;
  std::optional<StoredResponse> stored_response_;
  AttemptTrace trace_;
  std::string attempt_id_;
  // Digest from the response's header; std::nullopt if it has none.
  std::optional<ContentDigest> digest_;
  std::optional<HopDigest> hop_digest_;
  bool responded_ = false;
  bool truncated_ = false;
  bool server_error_ = false;
  std::optional<TargetLoad> load_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_UPSTREAM_ATTEMPT_H_
