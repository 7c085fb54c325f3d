#include "delivery/internal/keyed_requests.h"

#include <fmt/format.h>

#include "budget/budgets.h"
#include "delivery/internal/carrier_services.h"
#include "delivery/internal/decision_log.h"
#include "delivery/internal/delivery.h"
#include "delivery/internal/link_estimate.h"
#include "delivery/internal/request_body.h"
#include "delivery/internal/request_context.h"
#include "delivery/internal/upstream_sender.h"
#include "framework/http/http_exchange.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/key_prefix.h"

namespace redwing {

namespace {
constexpr Milliseconds kInProgressRetry{1'000};

uint64_t Fingerprint(const RequestContext& context,
                     std::string_view method,
                     std::string_view body) {
  return Hash64(fmt::format("{} {} {} {}", method, context.service->name,
                            context.target, Hash64(body)));
}
}  // namespace

KeyedRequests::KeyedRequests(const CarrierServices& services,
                             UpstreamSender& sender,
                             RequestTrail& trail,
                             DeliverFunction deliver)
    : services_(services),
      sender_(sender),
      trail_(trail),
      deliver_(std::move(deliver)),
      table_(Clock::now()),
      claims_(services.store, services.identity) {}

uint32_t KeyedRequests::epoch() const {
  return table_.Epoch(Clock::now());
}

Result<void> KeyedRequests::Handle(Delivery& delivery, const Yield& yield) {
  const RequestContext& context = delivery.context;
  if (!delivery.body.complete()) {
    return NotRun(Errc::kBodyTooLarge,
                  "the body of a request with an idempotency key exceeds 1 MB");
  }
  if (context.owner_hop) {
    return RunAsOwner(delivery, yield);
  }
  const std::optional<BoundKey> bound = ParseBoundKey(context.idempotency_key);
  std::string owner;
  if (bound) {
    owner = bound->process_id;
  } else {
    // A request over its rate must not cost a write to the store.
    const Result<std::unique_ptr<Reservation>> within_rate =
        services_.budgets->Reserve(UpstreamSender::WorkspaceCharges(context),
                                   context.deadline, context.allow_stale());
    if (!within_rate) {
      return within_rate.error();
    }
    const Result<std::string> claimed = claims_.Claim(
        context.workspace_name() + "/" + context.idempotency_key, yield);
    if (!claimed) {
      return claimed.error();
    }
    owner = claimed.value();
  }
  if (owner == services_.identity->process_id) {
    return RunAsOwner(delivery, yield);
  }
  return ForwardToOwner(delivery, owner, yield);
}

Result<void> KeyedRequests::RunAsOwner(Delivery& delivery, const Yield& yield) {
  const RequestContext& context = delivery.context;
  const TimePoint now = Clock::now();
  const std::optional<BoundKey> bound = ParseBoundKey(context.idempotency_key);
  if (bound && (bound->process_id != services_.identity->process_id ||
                !table_.Accepts(bound->epoch, now))) {
    return MayHaveRun(Errc::kIdempotencyOutcomeUnknown,
                      "the idempotency key has expired");
  }
  const std::string key =
      context.workspace_name() + "/" + context.idempotency_key;
  const Result<std::optional<KeyRecordEntry>> known =
      table_.Begin(key,
                   Fingerprint(context, delivery.exchange.method(),
                               delivery.body.buffered()),
                   now);
  if (!known) {
    return known.error();
  }
  if (known.value()) {
    const KeyRecordEntry& entry = *known.value();
    Log(context, "repeated");
    if (entry.state == KeyState::kAnswered) {
      delivery.Respond(*entry.stored_response, yield);
      return boost::outcome_v2::success();
    }
    if (entry.state == KeyState::kRunning) {
      Failure failure =
          MayHaveRun(Errc::kIdempotencyInProgress,
                     "the first request with the key is still running");
      failure.retry_after = kInProgressRetry;
      return failure;
    }
    return MayHaveRun(Errc::kIdempotencyOutcomeUnknown,
                      "the request with the key may have run");
  }
  Log(context, "begun");
  delivery.collect = true;
  delivery.owns_key = true;
  const Result<void> result = deliver_(delivery, yield);
  if (!result) {
    if (result.error().verdict == Verdict::kNotRun) {
      table_.Remove(key);
      Log(context, "freed");
    } else {
      table_.MarkUnknown(key);
      Log(context, "unknown");
    }
    return result;
  }
  if (!delivery.stored_response) {
    // The response was streamed: it is too large to be kept.
    table_.MarkUnknown(key);
    Log(context, "answered_not_kept");
    return result;
  }
  Log(context, "answered");
  const StoredResponse stored_response = *delivery.stored_response;
  table_.Store(key, stored_response);
  const std::string link = sender_.ResponseLink(context);
  if (!link.empty()) {
    services_.budgets->Pace(
        link,
        kLinkHeaderBytes + static_cast<double>(stored_response.body.size()),
        context.deadline, yield);
  }
  delivery.Respond(stored_response, yield);
  return result;
}

Result<void> KeyedRequests::ForwardToOwner(Delivery& delivery,
                                           const std::string& process_id,
                                           const Yield& yield) {
  for (const auto& [name, member] : services_.membership->members()) {
    const bool reachable = member.state == MemberState::kAlive ||
                           member.state == MemberState::kLeaving;
    if (member.process_id != process_id || !reachable) {
      continue;
    }
    const Member owner = member;
    Log(delivery.context, "passed_to_owner");
    Result<void> result =
        sender_.ForwardToInstance(delivery, owner, true, yield);
    if (!result && result.error().errc == Errc::kTargetUnreachable) {
      break;
    }
    return result;
  }
  Log(delivery.context, "owner_unreachable");
  // An earlier request with the key may have reached the owner.
  return MayHaveRun(Errc::kIdempotencyOutcomeUnknown,
                    "the process that the key is bound to cannot be reached");
}

void KeyedRequests::Log(const RequestContext& context,
                        std::string_view decision) const {
  LogDecision(trail_, context.request_id,
              fmt::format("event=idempotency_key request={} key_digest={:016x} "
                          "decision={}",
                          context.request_id, Hash64(context.idempotency_key),
                          decision));
}

}  // namespace redwing
