#include "delivery/internal/upstream_attempt.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "delivery/internal/header_rules.h"
#include "delivery/internal/link_estimate.h"
#include "delivery/internal/request_body.h"
#include "delivery/internal/target_notice.h"
#include "framework/http/content_digest.h"
#include "framework/http/http_exchange.h"
#include "framework/http/refusal.h"
#include "framework/kernel/cancellation.h"
#include "framework/metrics/metrics.h"
#include "framework/wire/digest.h"
#include "routing/target_rate_limits.h"

namespace redwing {

namespace {
constexpr size_t kPiece = LinkPacer::kPiece;
constexpr size_t kMaxRefusalBytes = 64 * 1024;  // bytes
// Longer bodies are streamed to other instances without a hash.
constexpr uint64_t kMaxHashedBytes = 64 * 1024;  // bytes
constexpr size_t kAttemptIdBytes = 8;
constexpr Milliseconds kBodyIdleTimeout{10'000};
constexpr Milliseconds kMaxBodyTime{600'000};
// Bounds of discarding a body, which is read only to keep the connection.
constexpr size_t kMaxSkippedBytes = 64 * 1024;  // bytes
constexpr Milliseconds kMaxSkipTime{100};
// Targets are a short round trip away, and there are others: a request that
// has not been sent moves to another target before a lost packet is sent again.
constexpr LinkTimeouts kTargetTimeouts = {Milliseconds(500),
                                          Milliseconds(1'000)};
// Responses to earlier requests that are skipped before the one that is due.
constexpr int kMaxEarlierResponses = 4;
// Retry-After for a request that a target shed without naming a time.
constexpr Milliseconds kShedRetryAfter{1'000};
}  // namespace

Result<void> UpstreamAttempt::Run(RequestBody& body,
                                  HttpExchange& exchange,
                                  Cancellation& cancellation,
                                  const Yield& yield) {
  const Result<void> outcome = Exchange(body, exchange, cancellation, yield);
  if (outcome) {
    return outcome;
  }
  Failure failure = outcome.error();
  failure.verdict = VerdictOf(trace_.end);
  return failure;
}

Failure UpstreamAttempt::EndAs(AttemptEnd end) {
  trace_.end = end;
  return FailureOf(end);
}

Result<void> UpstreamAttempt::Exchange(RequestBody& body,
                                       HttpExchange& exchange,
                                       Cancellation& cancellation,
                                       const Yield& yield) {
  const Result<ConnectionPool::ConnectionPtr> acquired = pool_.Acquire(
      plan_.endpoint, MatchesByRequestId() ? plan_.request_id : std::string(),
      plan_.deadline, plan_.to_instance ? LinkTimeouts() : kTargetTimeouts,
      yield);
  if (!acquired) {
    return acquired.error();
  }
  connection_ = acquired.value();
  trace_.connection = connection_->id();
  trace_.exchange = connection_->exchanges() + 1;
  if (cancellation.cancelled()) {
    pool_.Release(plan_.endpoint, connection_);
    return NotRun(Errc::kCallerGone, "the caller has disconnected");
  }
  const Result<void> may_send =
      plan_.before_send ? plan_.before_send() : boost::outcome_v2::success();
  if (!may_send) {
    pool_.Release(plan_.endpoint, connection_);
    return may_send;
  }
  const std::weak_ptr<HttpConnection> weak = connection_;
  cancellation.SetHandler([weak]() {
    const std::shared_ptr<HttpConnection> connection = weak.lock();
    if (connection) {
      connection->Abort();
    }
  });
  Result<void> outcome = Send(body, yield);
  if (outcome) {
    outcome = ReadHeader(yield);
  }
  if (outcome) {
    server_error_ = connection_->response().result_int() >= 500;
    outcome = plan_.collect ? Collect(exchange, yield) : Relay(exchange, yield);
  }
  cancellation.ClearHandler();
  if (!outcome) {
    return cancellation.cancelled()
               ? MayHaveRun(Errc::kCallerGone, "the caller has disconnected")
               : outcome.error();
  }
  pool_.Release(plan_.endpoint, connection_);
  return outcome;
}

Result<void> UpstreamAttempt::Send(RequestBody& body, const Yield& yield) {
  attempt_id_ = RandomHex(kAttemptIdBytes);
  plan_.header.set(BeastView(kAttemptField), attempt_id_);
  // Each piece is sent over a link as soon as it is charged: if the charged
  // pieces waited, they could leave in a burst later.
  std::string_view buffered = body.buffered();
  const size_t step = request_pacer_.active() ? kPiece : buffered.size();
  const std::string_view first = buffered.substr(0, step);
  buffered.remove_prefix(first.size());
  if (!request_pacer_.Pace(first.size(), plan_.deadline, yield)) {
    return NotRun(Errc::kLinkFull,
                  "the link has no capacity before the deadline",
                  Milliseconds(1000));
  }
  trace_.end = AttemptEnd::kNoResponse;
  Result<void> sent = connection_->BeginRequest(
      std::move(plan_.header), first.data(), first.size(),
      body.complete() && buffered.empty(), yield);
  while (sent && !buffered.empty()) {
    const std::string_view piece = buffered.substr(0, step);
    buffered.remove_prefix(piece.size());
    sent = SendPiece(piece, body.complete() && buffered.empty(), yield);
  }
  bool last = body.complete();
  while (sent && !last) {
    const Result<std::string_view> piece = body.Next(yield);
    if (!piece) {
      connection_->Abort();
      return MayHaveRun(piece.error().errc, piece.error().detail);
    }
    last = piece.value().empty();
    sent = SendPiece(piece.value(), last, yield);
  }
  if (sent || connection_->timed_out()) {
    return sent;
  }
  // An upstream may respond before it has read the whole request.
  return boost::outcome_v2::success();
}

Result<void> UpstreamAttempt::SendPiece(std::string_view piece,
                                        bool last,
                                        const Yield& yield) {
  if (!request_pacer_.Pace(piece.size(), plan_.deadline, yield)) {
    connection_->Abort();
    return MayHaveRun(Errc::kTargetTimeout,
                      "the link has no capacity before the deadline");
  }
  return connection_->WriteBody(piece.data(), piece.size(), last, yield);
}

Result<void> UpstreamAttempt::ReadHeader(const Yield& yield) {
  Result<void> read = connection_->ReadHeader(yield);
  for (int i = 0; i < kMaxEarlierResponses && read && !IsResponseToAttempt() &&
                  SkipEarlierResponse(yield);
       ++i) {
    read = connection_->ReadHeader(yield);
  }
  responded_ = read || connection_->malformed();
  if (!read) {
    trace_.end = responded_ ? AttemptEnd::kMalformedResponse : trace_.end;
    return read.error();
  }
  const ResponseHeader& header = connection_->response();
  trace_.status = header.result_int();
  digest_ =
      ContentDigest::Parse(StdView(header[BeastView(ContentDigest::kField)]));
  if (plan_.to_instance) {
    hop_digest_ = HopDigest::Parse(header);
  }
  if (!IsResponseToAttempt()) {
    connection_->Abort();
    metrics_
        .Get("redwing_answers_crossed_total",
             "Answers that belonged to another request, in answers")
        .Add();
    return EndAs(AttemptEnd::kForeignResponse);
  }
  return plan_.to_instance ? ReadInstanceHeader(yield)
                           : ReadTargetHeader(yield);
}

Result<void> UpstreamAttempt::ReadInstanceHeader(const Yield& yield) {
  const ResponseHeader& header = connection_->response();
  const std::optional<TargetStart> departed =
      TargetStart::Parse(StdView(header[BeastView(kDepartedField)]));
  if (departed && plan_.on_departure) {
    plan_.on_departure(*departed);
  }
  const bool unframed = connection_->undelimited();
  if (!unframed && header.count(std::string(kVerdictField)) > 0) {
    return ReadRefusal(yield);
  }
  trace_.end = unframed ? AttemptEnd::kUnframed
                        : EndOfInstanceResponse(header, plan_.runs_once);
  if (trace_.end != AttemptEnd::kResponded) {
    connection_->Abort();
    return FailureOf(trace_.end);
  }
  return boost::outcome_v2::success();
}

Result<void> UpstreamAttempt::ReadTargetHeader(const Yield& yield) {
  const ResponseHeader& header = connection_->response();
  if (!dialect_.load.empty()) {
    load_ = TargetLoad::Parse(StdView(header[BeastView(dialect_.load)]));
  }
  const bool unframed =
      connection_->undelimited() && !connection_->body_done() &&
      (connection_->write_failed() || !dialect_.accepts_unframed_responses);
  const AttemptEnd end =
      EndOfTargetResponse(header, dialect_, plan_.runs_once, unframed);
  trace_.end = end;
  if (end == AttemptEnd::kMisdirected) {
    SkipBody(yield);
    return FailureOf(end);
  }
  TargetNotice notice = TargetNotice::Read(header, dialect_);
  const bool stated = end == AttemptEnd::kStatedNotRun;
  if (end != AttemptEnd::kResponded && !stated &&
      notice.rate_limit == kNoRateLimit) {
    // A response that is not the target's own does not end a limit.
    notice.rate_limit.reset();
  }
  if (plan_.on_notice) {
    plan_.on_notice(notice);
  }
  if (end == AttemptEnd::kResponded) {
    return boost::outcome_v2::success();
  }
  Failure failure = FailureOf(end);
  if (stated) {
    SkipBody(yield);
    failure.retry_after = notice.backoff.value_or(kShedRetryAfter);
  } else {
    connection_->Abort();
  }
  return failure;
}

bool UpstreamAttempt::MatchesByRequestId() const {
  return !plan_.expects_echo && dialect_.targets_echo_request_id;
}

bool UpstreamAttempt::IsMatched() const {
  return plan_.expects_echo || MatchesByRequestId() ||
         connection_->response().count(std::string(kAttemptField)) > 0;
}

bool UpstreamAttempt::IsResponseToAttempt() const {
  const ResponseHeader& header = connection_->response();
  const boost::beast::string_view attempt = header[BeastView(kAttemptField)];
  if (plan_.expects_echo || !attempt.empty()) {
    return StdView(attempt) == attempt_id_;
  }
  // Other targets need not echo an id.
  return !MatchesByRequestId() ||
         StdView(header[BeastView(dialect_.request_id)]) == plan_.request_id;
}

bool UpstreamAttempt::SkipEarlierResponse(const Yield& yield) {
  const std::string_view id =
      StdView(connection_->response()[BeastView(dialect_.request_id)]);
  if (!MatchesByRequestId() || !connection_->carried_ids().Contains(id) ||
      connection_->undelimited() || connection_->carried_head() ||
      !DiscardBody(yield)) {
    return false;
  }
  metrics_
      .Get("redwing_answers_repeated_total",
           "Answers to earlier requests that targets wrote once more, in "
           "answers")
      .Add();
  connection_->ExpiresAt(plan_.deadline);
  connection_->ExpectResponse();
  return true;
}

void UpstreamAttempt::SkipBody(const Yield& yield) {
  if (!DiscardBody(yield) || !IsMatched()) {
    connection_->Abort();
  }
  pool_.Release(plan_.endpoint, connection_);
}

bool UpstreamAttempt::DiscardBody(const Yield& yield) {
  connection_->ExpiresAt(
      std::min<TimePoint>(plan_.deadline, Clock::now() + kMaxSkipTime));
  std::string ignored(kPiece, '\0');
  size_t skipped = 0;
  while (!connection_->body_done() && skipped < kMaxSkippedBytes) {
    const Result<size_t> size =
        connection_->ReadBody(ignored.data(), ignored.size(), yield);
    if (!size) {
      break;
    }
    skipped += size.value();
  }
  return connection_->body_done();
}

Failure UpstreamAttempt::ReadRefusal(const Yield& yield) {
  std::string body;
  std::string piece(kPiece, '\0');
  while (body.size() < kMaxRefusalBytes) {
    const Result<size_t> size =
        connection_->ReadBody(piece.data(), piece.size(), yield);
    if (!size) {
      return EndAs(AttemptEnd::kAlteredRefusal);
    }
    if (size.value() == 0) {
      break;
    }
    body.append(piece, 0, size.value());
  }
  const ResponseHeader& header = connection_->response();
  const Failure failure = ParseRefusal(header.result_int(), body);
  trace_.end =
      EndOfRefusal(VerdictFromName(StdView(header[BeastView(kVerdictField)])),
                   failure.verdict);
  if (!body.empty() && !BodyMatchesDigests(body, true)) {
    trace_.end = AttemptEnd::kAlteredRefusal;
  }
  if (trace_.end == AttemptEnd::kAlteredRefusal) {
    connection_->Abort();
    return FailureOf(trace_.end);
  }
  pool_.Release(plan_.endpoint, connection_);
  return failure;
}

Result<void> UpstreamAttempt::Relay(HttpExchange& exchange,
                                    const Yield& yield) {
  if (connection_->body_done()) {
    const bool is_head = exchange.request().method() == http::verb::head;
    if (!is_head && !BodyMatchesDigests({}, true)) {
      return EndAs(AttemptEnd::kAlteredResponse);
    }
    exchange.BeginResponse(CallerHeader());
    exchange.WriteBody(nullptr, 0, true, yield);
    return boost::outcome_v2::success();
  }
  std::string buffered;
  Result<void> read = ReadPiece(&buffered, yield);
  ResponseHeader header = CallerHeader();
  if (NeedsBodyHash()) {
    while (read && !connection_->body_done()) {
      read = ReadPiece(&buffered, yield);
    }
    HopDigest::SetOn(&header, buffered);
  }
  if (!read) {
    return read;
  }
  exchange.BeginResponse(std::move(header));
  StreamRest(exchange, buffered, yield);
  return boost::outcome_v2::success();
}

bool UpstreamAttempt::NeedsBodyHash() const {
  const std::optional<uint64_t> length = connection_->content_length();
  return plan_.from_instance && !digest_ && length &&
         *length <= kMaxHashedBytes;
}

Result<void> UpstreamAttempt::ReadPiece(std::string* body, const Yield& yield) {
  const size_t buffered = body->size();
  body->resize(buffered + kPiece);
  connection_->ExpiresAt(Clock::now() + kBodyIdleTimeout);
  const Result<size_t> size =
      connection_->ReadBody(body->data() + buffered, kPiece, yield);
  if (!size) {
    return EndAs(AttemptEnd::kCutResponse);
  }
  body->resize(buffered + size.value());
  return boost::outcome_v2::success();
}

Result<void> UpstreamAttempt::Collect(HttpExchange& exchange,
                                      const Yield& yield) {
  StoredResponse stored_response;
  stored_response.header = CallerHeader();
  std::string piece(kPiece, '\0');
  while (stored_response.body.size() <= IdempotencyTable::kMaxResponse) {
    connection_->ExpiresAt(
        std::min<TimePoint>(plan_.deadline, Clock::now() + kBodyIdleTimeout));
    const Result<size_t> size =
        connection_->ReadBody(piece.data(), piece.size(), yield);
    if (!size) {
      return EndAs(AttemptEnd::kCutResponse);
    }
    if (size.value() == 0) {
      if (!BodyMatchesDigests(stored_response.body, true)) {
        connection_->Abort();
        return EndAs(AttemptEnd::kAlteredResponse);
      }
      stored_response_ = std::move(stored_response);
      return boost::outcome_v2::success();
    }
    stored_response.body.append(piece, 0, size.value());
  }
  // The response is too large to be kept, so it is streamed.
  exchange.BeginResponse(stored_response.header);
  StreamRest(exchange, stored_response.body, yield);
  return boost::outcome_v2::success();
}

void UpstreamAttempt::StreamRest(HttpExchange& exchange,
                                 std::string_view buffered,
                                 const Yield& yield) {
  const TimePoint end =
      plan_.collect ? plan_.deadline : Clock::now() + kMaxBodyTime;
  const std::unique_ptr<char[]> buffer =
      std::make_unique_for_overwrite<char[]>(kPiece);
  size_t uncharged_header = kLinkHeaderBytes;
  while (true) {
    const std::string_view piece = buffered.substr(0, kPiece);
    buffered.remove_prefix(piece.size());
    const bool last = buffered.empty() && connection_->body_done();
    if (!BodyMatchesDigests(piece, last)) {
      AbortResponse(exchange);
      return;
    }
    const bool paced = response_pacer_.Pace(
        piece.size() + std::exchange(uncharged_header, 0), end, yield);
    if (!paced) {
      connection_->Abort();
      exchange.Break();
      return;
    }
    if (!exchange.WriteBody(piece.data(), piece.size(), last, yield)) {
      connection_->Abort();
      return;
    }
    if (last) {
      return;
    }
    if (!buffered.empty()) {
      continue;
    }
    connection_->ExpiresAt(
        std::min<TimePoint>(end, Clock::now() + kBodyIdleTimeout));
    const Result<size_t> size =
        connection_->ReadBody(buffer.get(), kPiece, yield);
    if (!size) {
      AbortResponse(exchange);
      return;
    }
    buffered = {buffer.get(), size.value()};
  }
}

bool UpstreamAttempt::BodyMatchesDigests(std::string_view piece, bool last) {
  if (digest_) {
    digest_->Add(piece);
  }
  if (hop_digest_) {
    hop_digest_->Add(piece);
  }
  if (!last || ((!digest_ || digest_->Matches()) &&
                (!hop_digest_ || hop_digest_->Matches()))) {
    return true;
  }
  metrics_
      .Get("redwing_answers_altered_total",
           "Answers whose body is not the one their header names, in answers")
      .Add();
  return false;
}

void UpstreamAttempt::AbortResponse(HttpExchange& exchange) {
  truncated_ = true;
  metrics_
      .Get("redwing_answers_cut_total",
           "Answers that broke off at the target, in answers")
      .Add();
  connection_->Abort();
  exchange.Break();
}

ResponseHeader UpstreamAttempt::CallerHeader() const {
  ResponseHeader header = connection_->response();
  RemoveHopByHopFields(&header);
  RemoveInternalFields(&header);
  header.erase(dialect_.not_run);
  return header;
}

}  // namespace redwing
