#include "budget/internal/token_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "budget/internal/lease_exchange.h"
#include "budget/internal/lease_term.h"
#include "budget/internal/share_ledger.h"
#include "budget/internal/token_messages.h"
#include "config/freshness.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/digest.h"
#include "framework/wire/payload.h"
#include "membership/identity.h"
#include "membership/membership.h"

namespace redwing {

namespace {
// Time after which a request without a response counts as lost.
constexpr Milliseconds kRequestTimeout{250};
// Time until the next request to a budget holder that had too few tokens.
constexpr Milliseconds kRetryInterval{50};
// Time for which a budget holder that did not respond is skipped.
constexpr Milliseconds kUnresponsiveTime{1'000};
// Maximum time for borrowing the tokens that other share owners hold.
constexpr double kBorrowWaitMs = 150;
// Time after which granted tokens expire. Well below the remaining time of a
// lease when it is renewed, so that renewed leases cover the grants.
constexpr Milliseconds kGrantDuration{500};
// Minimum rate, as a fraction of the budget's rate, assumed for the expected
// wait.
constexpr double kMinRateFraction = 0.01;
constexpr double kMaxWaitMs = 60'000;
}  // namespace

TokenExchange::TokenExchange(Metrics& metrics,
                             std::shared_ptr<Identity> identity,
                             AccountMap& accounts)
    : metrics_(metrics),
      identity_(std::move(identity)),
      accounts_(accounts),
      random_(std::random_device{}()) {}

void TokenExchange::Attach(std::shared_ptr<PeerTransport> transport,
                           std::shared_ptr<Membership> membership,
                           std::shared_ptr<Freshness> freshness,
                           std::shared_ptr<ShareLedger> ledger,
                           LeaseExchange* leases) {
  transport_ = std::move(transport);
  membership_ = std::move(membership);
  freshness_ = std::move(freshness);
  ledger_ = std::move(ledger);
  leases_ = leases;
  transport_->OnDatagram(
      MessageKind::kTokenRequest,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleRequest(envelope);
      });
  transport_->OnDatagram(
      MessageKind::kTokenGrant,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleGrant(envelope);
      });
}

void TokenExchange::ExpireRequests(TimePoint now) {
  for (auto request = open_requests_.begin();
       request != open_requests_.end();) {
    if (now - request->second.sent_at <= kRequestTimeout) {
      ++request;
      continue;
    }
    accounts_.at(request->second.budget)
        .unresponsive_until[request->second.holder] = now + kUnresponsiveTime;
    request = open_requests_.erase(request);
  }
}

void TokenExchange::RequestTokens(const std::string& name,
                                  BudgetAccount& account,
                                  TimePoint now) {
  const double missing = account.reserved_amount + account.waiting_amount -
                         account.Available(now) - OpenAmount(name);
  if (missing <= 0 || now < account.next_request_at) {
    return;
  }
  const Member* const holder = membership_->Find(HolderOf(name, account, now));
  if (holder == nullptr) {
    return;
  }
  const TokenRequest request{
      random_(),
      name,
      missing,
      account.largest_amount,
      account.TakeUnreportedDemand(),
      account.granted_tokens.TakeSpent(holder->name),
  };
  open_requests_[request.request_id] = {name, holder->name, missing, now};
  metrics_
      .Get("redwing_token_requests_total",
           "Requests for tokens of a budget, in messages")
      .Add();
  transport_->Send(UdpEndpoint(holder->peer_address),
                   MessageKind::kTokenRequest, EncodePayload(request));
}

bool TokenExchange::MayReceiveTokens(const std::string& name,
                                     BudgetAccount& account,
                                     Clock::duration within,
                                     TimePoint now) {
  return OpenAmount(name) > 0 || now >= account.next_request_at ||
         account.tokens_expected_at <= now + within;
}

double TokenExchange::OpenAmount(const std::string& budget) const {
  double sum = 0;
  for (const auto& [id, request] : open_requests_) {
    sum += request.budget == budget ? request.amount : 0;
  }
  return sum;
}

bool TokenExchange::IsHolder(const std::string& name,
                             const BudgetAccount& account,
                             TimePoint now) const {
  return HolderOf(name, account, now) == identity_->name;
}

std::string TokenExchange::HolderOf(const std::string& name,
                                    const BudgetAccount& account,
                                    TimePoint now) const {
  const bool fleet = account.bucket.spec().scope == BudgetScope::kFleet;
  std::string best;
  std::pair<bool, uint64_t> best_rank;
  for (const std::string& owner : ledger_->owners()) {
    const bool own = owner == identity_->name;
    const Member* const member = own ? nullptr : membership_->Find(owner);
    const auto unresponsive = account.unresponsive_until.find(owner);
    const bool reachable =
        own ? ledger_->owns()
            : member != nullptr && member->usable() &&
                  (unresponsive == account.unresponsive_until.end() ||
                   now >= unresponsive->second);
    const bool near = own || (reachable && member->region == identity_->region);
    const std::pair<bool, uint64_t> rank = {
        near, Hash64(fmt::format("{}/{}", name, owner))};
    if (reachable && (near || fleet) && (best.empty() || rank > best_rank)) {
      best = owner;
      best_rank = rank;
    }
  }
  return best;
}

void TokenExchange::HandleRequest(const Envelope& envelope) {
  const Result<TokenRequest> decoded =
      DecodePayload<TokenRequest>(envelope.payload);
  const Member* const member = membership_->Find(envelope.sender);
  if (!decoded || member == nullptr) {
    return;
  }
  const TokenRequest& request = decoded.value();
  const auto found = accounts_.find(request.budget);
  const TimePoint now = Clock::now();
  const bool valid = std::isfinite(request.amount) && request.amount > 0 &&
                     std::isfinite(request.demand) && request.demand >= 0 &&
                     std::isfinite(request.largest);
  if (found == accounts_.end() || !valid || !freshness_->IsFresh(now)) {
    return;
  }
  BudgetAccount& account = found->second;
  for (const uint64_t grant_id : request.spent_grants) {
    account.bucket.SettleGrant(grant_id, envelope.sender, now);
  }
  account.demand.Add(request.demand);
  account.largest_amount = std::max(account.largest_amount, request.largest);
  account.last_used = now;
  TokenGrant grant;
  grant.request_id = request.request_id;
  grant.duration_ms = static_cast<uint32_t>(kGrantDuration.count());
  const double tokens =
      account.waiters.empty() ? account.bucket.Tokens(now) : 0;
  const double amount =
      tokens >= request.amount ? request.amount : std::floor(tokens);
  const uint64_t id = random_();
  if (amount > 0 &&
      account.bucket.GrantTokens(
          {id, envelope.sender, amount, LenderExpiry(now, kGrantDuration)},
          now)) {
    grant.grant_id = id;
    grant.amount = amount;
  }
  account.remote.Set(envelope.sender, request.amount - grant.amount, now);
  if (grant.amount < request.amount) {
    grant.wait_ms = static_cast<uint32_t>(
        ExpectedWait(request.budget, account, now).count());
  }
  transport_->Send(UdpEndpoint(member->peer_address), MessageKind::kTokenGrant,
                   EncodePayload(grant));
}

Milliseconds TokenExchange::ExpectedWait(const std::string& name,
                                         BudgetAccount& account,
                                         TimePoint now) {
  account.remote_backlog = account.remote.Amount(now);
  const double ahead = account.remote_backlog + account.waiting_amount +
                       account.reserved_amount - account.bucket.Tokens(now);
  const double rate = std::max(account.bucket.Rate(),
                               account.bucket.spec().rate * kMinRateFraction);
  double wait_ms = 1000 * std::max(0.0, ahead) / rate;
  if (leases_->MayBorrow(name, account, now)) {
    // Other share owners may lend up to the whole rate and their tokens.
    const double whole_ms = 1000 * ahead / account.bucket.spec().rate;
    wait_ms = std::min({wait_ms, whole_ms, kBorrowWaitMs});
  }
  return Milliseconds(
      static_cast<int64_t>(std::ceil(std::min(wait_ms, kMaxWaitMs))));
}

void TokenExchange::HandleGrant(const Envelope& envelope) {
  const Result<TokenGrant> decoded =
      DecodePayload<TokenGrant>(envelope.payload);
  if (!decoded) {
    return;
  }
  const TokenGrant& grant = decoded.value();
  const auto open = open_requests_.find(grant.request_id);
  if (open == open_requests_.end() || open->second.holder != envelope.sender) {
    return;
  }
  const OpenRequest request = open->second;
  open_requests_.erase(open);
  if (!std::isfinite(grant.amount) || grant.amount > request.amount) {
    return;
  }
  BudgetAccount& account = accounts_.at(request.budget);
  const TimePoint now = Clock::now();
  if (grant.amount < request.amount) {
    account.next_request_at = now + kRetryInterval;
    account.tokens_expected_at = now + Milliseconds(grant.wait_ms);
  } else {
    account.next_request_at = now;
    account.tokens_expected_at = now;
  }
  if (grant.grant_id == 0) {
    metrics_
        .Get("redwing_token_refusals_total",
             "Requests for tokens of a budget that brought none, in messages")
        .Add();
    return;
  }
  // Measured from the time at which the request was sent, so that the grant
  // expires here before it expires at the share owner.
  account.granted_tokens.Add(
      {grant.grant_id, envelope.sender, grant.amount,
       request.sent_at + Milliseconds(grant.duration_ms)},
      now);
  account.GrantWaiters(now);
}

}  // namespace redwing
