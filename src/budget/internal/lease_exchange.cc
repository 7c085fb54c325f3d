#include "budget/internal/lease_exchange.h"

#include <algorithm>
#include <cmath>

#include "budget/internal/lease_messages.h"
#include "budget/internal/lease_term.h"
#include "budget/internal/lending_policy.h"
#include "budget/internal/share_ledger.h"
#include "config/freshness.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/payload.h"
#include "membership/identity.h"
#include "membership/membership.h"

namespace redwing {

namespace {
// Time after which a request without a response counts as lost.
constexpr Milliseconds kRequestTimeout{400};
// Time for which a peer that had no share to lend is skipped.
constexpr Milliseconds kRefusalBackoff{250};
}  // namespace

LeaseExchange::LeaseExchange(Metrics& metrics,
                             std::shared_ptr<Identity> identity,
                             std::unique_ptr<LendingPolicy> policy,
                             Milliseconds lease_duration,
                             AccountMap& accounts)
    : metrics_(metrics),
      identity_(std::move(identity)),
      policy_(std::move(policy)),
      lease_duration_(lease_duration),
      accounts_(accounts),
      random_(std::random_device{}()) {}

LeaseExchange::~LeaseExchange() = default;

void LeaseExchange::Attach(std::shared_ptr<PeerTransport> transport,
                           std::shared_ptr<Membership> membership,
                           std::shared_ptr<Freshness> freshness,
                           std::shared_ptr<ShareLedger> ledger) {
  transport_ = std::move(transport);
  membership_ = std::move(membership);
  freshness_ = std::move(freshness);
  ledger_ = std::move(ledger);
  transport_->OnDatagram(
      MessageKind::kLeaseRequest,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleRequest(envelope);
      });
  transport_->OnDatagram(
      MessageKind::kLeaseGrant,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleGrant(envelope);
      });
  transport_->OnDatagram(
      MessageKind::kLeaseReturn,
      [this](const Envelope& envelope,
             const boost::asio::ip::udp::endpoint& /*from*/) {
        HandleReturn(envelope);
      });
}

void LeaseExchange::ExpireRequests(TimePoint now) {
  for (auto request = open_requests_.begin();
       request != open_requests_.end();) {
    const bool lost = now - request->second.sent_at > kRequestTimeout;
    request = lost ? open_requests_.erase(request) : std::next(request);
  }
}

bool LeaseExchange::MayBorrow(const std::string& name,
                              BudgetAccount& account,
                              TimePoint now) {
  if (policy_->ShareToBorrow(account) <= 0) {
    account.no_lender_since = TimePoint::max();
    return false;
  }
  if (OpenShare(name) > 0 || !Lenders(account, now).empty()) {
    account.no_lender_since = TimePoint::max();
    return true;
  }
  account.no_lender_since = std::min(account.no_lender_since, now);
  // Leases that other instances no longer need are returned or expire within
  // this time.
  return now - account.no_lender_since < lease_duration_;
}

void LeaseExchange::BorrowFor(const std::string& name,
                              BudgetAccount& account,
                              TimePoint now) {
  // Shares already requested count as borrowed, so that the requests together
  // do not exceed the missing share.
  const double missing = policy_->ShareToBorrow(account) - OpenShare(name);
  if (missing <= 0) {
    return;
  }
  const std::vector<const Member*> lenders = Lenders(account, now);
  if (lenders.empty()) {
    return;
  }
  // Shares are about equal, so request from as many peers as are likely needed.
  const size_t wanted = static_cast<size_t>(
      std::ceil(missing * static_cast<double>(lenders.size() + 1)));
  const size_t count = std::clamp<size_t>(wanted, 1, lenders.size());
  for (size_t i = 0; i < count; ++i) {
    SendRequest(
        lenders[i]->name,
        {name, lenders[i]->name, 0, missing / static_cast<double>(count), now},
        now);
  }
}

void LeaseExchange::Renew(const std::string& name,
                          BudgetAccount& account,
                          TimePoint now) {
  ReturnSurplus(name, account, now);
  for (const ShareLease& lease : account.bucket.borrowed()) {
    if (lease.until - now > lease_duration_ / 2) {
      continue;
    }
    const bool requested = std::any_of(
        open_requests_.begin(), open_requests_.end(),
        [&lease](const std::pair<const uint64_t, OpenRequest>& item) {
          return item.second.lease_id == lease.id;
        });
    if (!requested) {
      SendRequest(lease.peer, {name, lease.peer, lease.id, 0, now}, now);
    }
  }
}

void LeaseExchange::ReturnSurplus(const std::string& name,
                                  BudgetAccount& account,
                                  TimePoint now) {
  double surplus = account.bucket.EffectiveShare() - account.NeededShare();
  const std::vector<ShareLease> borrowed = account.bucket.borrowed();
  for (const ShareLease& lease : borrowed) {
    const Member* const member = membership_->Find(lease.peer);
    // Keep a lease for at least half its duration: the next request may need
    // it.
    const bool young = lease.until - now > lease_duration_ / 2;
    if (young || lease.share > surplus || member == nullptr ||
        !account.bucket.CanReturn(lease)) {
      continue;
    }
    surplus -= lease.share;
    // Remove the lease here before the lender receives the return. If the
    // message is lost, the lender cannot use the share until the lease expires.
    const double tokens = account.bucket.Return(lease.id, now);
    transport_->Send(UdpEndpoint(member->peer_address),
                     MessageKind::kLeaseReturn,
                     EncodePayload(LeaseReturn{lease.id, name, tokens}));
  }
}

void LeaseExchange::SendRequest(const std::string& peer,
                                OpenRequest request,
                                TimePoint now) {
  const Member* const member = membership_->Find(peer);
  if (member == nullptr) {
    return;
  }
  const uint64_t id = random_();
  const LeaseRequest message{id, request.lease_id, request.budget,
                             request.share};
  request.sent_at = now;
  open_requests_.emplace(id, std::move(request));
  metrics_
      .Get("redwing_lease_requests_total",
           "Requests to lend a share, in messages")
      .Add();
  transport_->Send(UdpEndpoint(member->peer_address),
                   MessageKind::kLeaseRequest, EncodePayload(message));
}

double LeaseExchange::OpenShare(const std::string& budget) const {
  double sum = 0;
  for (const auto& [id, request] : open_requests_) {
    if (request.budget == budget) {
      sum += request.share;
    }
  }
  return sum;
}

std::vector<const Member*> LeaseExchange::Lenders(const BudgetAccount& account,
                                                  TimePoint now) {
  const BudgetSpec& spec = account.bucket.spec();
  std::vector<const Member*> lenders;
  for (const auto& [name, member] : membership_->members()) {
    const bool same_region = member.region == identity_->region;
    const auto refused = account.refused_until.find(name);
    const bool has_none =
        refused != account.refused_until.end() && now < refused->second;
    if (member.usable() && !has_none && ledger_->IsOwner(name) &&
        (spec.scope == BudgetScope::kFleet || same_region)) {
      lenders.push_back(&member);
    }
  }
  std::shuffle(lenders.begin(), lenders.end(), random_);
  // Responses from the same region arrive sooner.
  std::stable_partition(lenders.begin(), lenders.end(),
                        [this](const Member* member) {
                          return member->region == identity_->region;
                        });
  return lenders;
}

void LeaseExchange::HandleRequest(const Envelope& envelope) {
  const Result<LeaseRequest> decoded =
      DecodePayload<LeaseRequest>(envelope.payload);
  const Member* const member = membership_->Find(envelope.sender);
  if (!decoded || member == nullptr) {
    return;
  }
  const LeaseRequest& request = decoded.value();
  const auto found = accounts_.find(request.budget);
  const TimePoint now = Clock::now();
  if (found == accounts_.end() || !freshness_->IsFresh(now)) {
    return;
  }
  BudgetAccount& account = found->second;
  account.bucket.Tokens(now);
  LeaseGrant grant;
  grant.request_id = request.request_id;
  grant.duration_ms = static_cast<uint32_t>(lease_duration_.count());
  const TimePoint until = LenderExpiry(now, lease_duration_);
  if (request.lease_id != 0) {
    if (policy_->ExtendLease(account) &&
        account.bucket.ExtendLent(request.lease_id, until, now)) {
      grant.lease_id = request.lease_id;
    }
  } else {
    grant.share = policy_->ShareToLend(account, request.share);
    if (grant.share > 0) {
      grant.lease_id = random_();
      grant.tokens = account.bucket.Lend(
          {grant.lease_id, envelope.sender, grant.share, until}, now);
    }
  }
  metrics_
      .Get("redwing_lease_grants_total",
           "Leases granted or extended, in leases")
      .Add();
  transport_->Send(UdpEndpoint(member->peer_address), MessageKind::kLeaseGrant,
                   EncodePayload(grant));
}

void LeaseExchange::HandleReturn(const Envelope& envelope) {
  const Result<LeaseReturn> decoded =
      DecodePayload<LeaseReturn>(envelope.payload);
  if (!decoded) {
    return;
  }
  const auto found = accounts_.find(decoded.value().budget);
  if (found == accounts_.end()) {
    return;
  }
  const TimePoint now = Clock::now();
  found->second.bucket.AcceptReturn(decoded.value().lease_id, envelope.sender,
                                    decoded.value().tokens, now);
  found->second.GrantWaiters(now);
}

void LeaseExchange::HandleGrant(const Envelope& envelope) {
  const Result<LeaseGrant> decoded =
      DecodePayload<LeaseGrant>(envelope.payload);
  if (!decoded) {
    return;
  }
  const LeaseGrant& grant = decoded.value();
  const auto open = open_requests_.find(grant.request_id);
  if (open == open_requests_.end() || open->second.peer != envelope.sender) {
    return;
  }
  const OpenRequest request = open->second;
  open_requests_.erase(open);
  const auto found = accounts_.find(request.budget);
  if (found == accounts_.end()) {
    return;
  }
  const TimePoint now = Clock::now();
  if (grant.lease_id == 0) {
    metrics_
        .Get("redwing_lease_refusals_total",
             "Requests to lend a share that were refused, in messages")
        .Add();
    found->second.refused_until[envelope.sender] = now + kRefusalBackoff;
    return;
  }
  // Measured from the time at which the request was sent, so that the lease
  // expires here before it expires at the lender.
  const TimePoint until = request.sent_at + Milliseconds(grant.duration_ms);
  ShareBucket& bucket = found->second.bucket;
  if (request.lease_id != 0) {
    bucket.ExtendBorrowed(request.lease_id, until, now);
  } else {
    bucket.Borrow({grant.lease_id, envelope.sender, grant.share, until},
                  grant.tokens, now);
    found->second.GrantWaiters(now);
  }
}

}  // namespace redwing
