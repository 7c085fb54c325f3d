#ifndef REDWING_DELIVERY_INTERNAL_UPSTREAM_ATTEMPT_H_
#define REDWING_DELIVERY_INTERNAL_UPSTREAM_ATTEMPT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "delivery/header_dialect.h"
#include "delivery/internal/hop_digest.h"
#include "delivery/internal/idempotency_table.h"
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

// One try at one upstream: a target or another entry.
struct AttemptPlan {
  boost::asio::ip::tcp::endpoint endpoint;
  RequestHeader header;
  TimePoint deadline;
  // The upstream is another entry, whose refusals carry a verdict.
  bool to_entry = false;
  // The caller is another entry, which checks the answer's body.
  bool from_entry = false;
  // The upstream repeats the attempt's id in its answers.
  bool expects_echo = false;
  // Link budgets that the bytes are paced to; empty for none.
  std::string request_link;
  // Bytes of the request's body that were charged to request_link already.
  double request_prepaid = 0;
  std::string response_link;
  // Bytes of the answer that were charged to response_link already.
  double response_prepaid = 0;
  // Collects the whole answer before anything is handed on.
  bool collect = false;
  std::string request_id;
  // The request must not run twice.
  bool runs_once = false;
  // Asked once a connection is there: fails with kNotRun when the request is
  // not to be sent any more. None: it is sent.
  std::function<Result<void>()> before_send;
  // Called with what a target's answer says of the target, before anything of
  // the answer is handed on.
  std::function<void(const TargetNotice&)> on_notice;
  // The same for a departure of which another entry's answer tells.
  std::function<void(const TargetStart&)> on_departure;
};

// Sends a request to an upstream and hands its answer on to the caller.
class UpstreamAttempt {
 public:
  UpstreamAttempt(ConnectionPool& pool,
                  Budgets& budgets,
                  Metrics& metrics,
                  const HeaderDialect& dialect,
                  AttemptPlan plan)
      : pool_(pool),
        budgets_(budgets),
        metrics_(metrics),
        dialect_(dialect),
        plan_(std::move(plan)) {}

  // Runs the attempt, which ends early when it is cancelled. Success means that
  // the answer went to the caller, whole or visibly broken off; or, with
  // plan.collect, that answer() holds it. A failure means that nothing of an
  // answer was sent.
  Result<void> Run(RequestBody& body,
                   HttpExchange& exchange,
                   Cancellation& cancellation,
                   const Yield& yield);

  std::optional<StoredAnswer>& answer() { return answer_; }
  // Returns whether the upstream's answer broke off after its header.
  bool cut() const { return cut_; }
  // Returns whether the answer is a server error.
  bool server_error() const { return server_error_; }
  // Time that opening a connection took; nothing when an open one was used.
  std::optional<Milliseconds> connect_time() const {
    return connection_ ? connection_->fresh_connect_time() : std::nullopt;
  }
  // What the target said of its load; nothing when it said nothing.
  const std::optional<TargetLoad>& load() const { return load_; }

 private:
  Result<void> Send(RequestBody& body, const Yield& yield);
  Result<void> SendPiece(std::string_view piece, bool last, const Yield& yield);
  // Reads the answer's header and turns refusals into failures.
  Result<void> ReadHeader(const Yield& yield);
  // The same for what another entry and what a target answers.
  Result<void> ReadEntryHeader(const Yield& yield);
  Result<void> ReadTargetHeader(const Yield& yield);
  Failure ReadRefusal(const Yield& yield);
  // Reads what is left of an answer that says that nothing was run.
  void SkipBody(const Yield& yield);
  // Returns whether the answer is to this request.
  bool IsOwnAnswer() const;
  // Checks that the answer's header is one that a target may give.
  Result<void> CheckAnswer();
  Result<void> Relay(HttpExchange& exchange, const Yield& yield);
  // Returns whether the whole body is read before the header goes on, which
  // then names the body's hash.
  bool NamesHash() const;
  // Appends what comes next of the answer's body.
  Result<void> ReadMore(std::string* body, const Yield& yield);
  Result<void> Collect(HttpExchange& exchange, const Yield& yield);
  // Sends `held` and the rest of the answer's body on.
  void StreamRest(HttpExchange& exchange,
                  std::string_view held,
                  const Yield& yield);
  // Takes the next piece of the answer's body. Returns whether it may go on to
  // the caller: false when the whole body is not the one its header names.
  bool IsOwnBody(std::string_view piece, bool last);
  // Ends an answer that has begun so that the caller sees that it is not whole.
  void BreakOff(HttpExchange& exchange);
  // Waits until a link has room for what is not prepaid; false when that takes
  // too long.
  bool Pace(const std::string& link,
            double* prepaid,
            size_t bytes,
            TimePoint deadline,
            const Yield& yield);
  ResponseHeader CallerHeader() const;

  ConnectionPool& pool_;
  Budgets& budgets_;
  Metrics& metrics_;
  const HeaderDialect& dialect_;
  AttemptPlan plan_;
  ConnectionPool::ConnectionPtr connection_;
  std::optional<StoredAnswer> answer_;
  std::string attempt_id_;
  // Nothing when the answer names none.
  std::optional<ContentDigest> digest_;
  std::optional<HopDigest> hop_digest_;
  bool cut_ = false;
  bool server_error_ = false;
  std::optional<TargetLoad> load_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_UPSTREAM_ATTEMPT_H_
