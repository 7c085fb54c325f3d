#include "budget/internal/share_budgets.h"

#include <algorithm>
#include <cmath>

#include "budget/internal/lease_messages.h"
#include "budget/internal/lending_policy.h"
#include "budget/internal/share_ledger.h"
#include "budget/internal/share_reservation.h"
#include "config/freshness.h"
#include "config/steering_config.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "framework/settings/endpoint.h"
#include "framework/wire/payload.h"
#include "membership/identity.h"
#include "membership/membership.h"

namespace redwing {

namespace {

constexpr Milliseconds kTickInterval{20};
// A request not answered by then counts as lost.
constexpr Milliseconds kRequestTimeout{400};
// A peer that had nothing to lend is not asked again for this long.
constexpr Milliseconds kRefusalTime{250};
// A lender counts a lease this much longer, against clocks that differ in
// speed.
constexpr double kLenderMargin = 1.02;
constexpr Milliseconds kLenderExtra{5};
// Part of a link's cap that requests and answers may use; the rest is left to
// packet headers and to what the fleet itself sends.
constexpr double kLinkUsablePart = 0.92;
// Links may burst for this long. Over any second, usable part and burst stay
// below the cap.
constexpr double kLinkBurstSeconds = 0.05;
constexpr double kMinLinkBurst = 32 * 1024;  // bytes
constexpr Milliseconds kIdleTime{5000};

Failure StaleFailure() {
  return NotRun(Errc::kStale,
                "this instance has lost touch with the rest of the fleet",
                Milliseconds(1000));
}

std::vector<BudgetSpec> SpecsOf(const SteeringDocument& document,
                                const std::string& own_region) {
  std::vector<BudgetSpec> specs;
  for (const auto& [name, workspace] : document.workspaces()) {
    specs.push_back({WorkspaceBudgetName(name), BudgetScope::kFleet,
                     workspace.rate, workspace.burst});
  }
  const Region* const region = document.FindRegion(own_region);
  if (region != nullptr) {
    specs.push_back({RegionBudgetName(own_region), BudgetScope::kRegion,
                     region->rate, region->burst});
  }
  for (const Link& link : document.links()) {
    if (link.from == own_region) {
      specs.push_back({LinkBudgetName(link.from, link.to), BudgetScope::kRegion,
                       link.cap * kLinkUsablePart,
                       std::max(kMinLinkBurst, link.cap * kLinkBurstSeconds)});
    }
  }
  return specs;
}

}  // namespace

ShareBudgets::ShareBudgets(boost::asio::io_context& io,
                           Metrics& metrics,
                           std::shared_ptr<Identity> identity,
                           std::unique_ptr<LendingPolicy> policy,
                           BudgetOptions options)
    : io_(io),
      metrics_(metrics),
      identity_(std::move(identity)),
      policy_(std::move(policy)),
      options_(options),
      random_(std::random_device{}()),
      tick_(io, kTickInterval, [this]() { Tick(); }) {}

ShareBudgets::~ShareBudgets() = default;

void ShareBudgets::Attach(std::shared_ptr<PeerTransport> transport,
                          std::shared_ptr<Membership> membership,
                          std::shared_ptr<SteeringConfig> config,
                          std::shared_ptr<Freshness> freshness,
                          std::shared_ptr<ShareLedger> ledger) {
  transport_ = std::move(transport);
  membership_ = std::move(membership);
  config_ = std::move(config);
  freshness_ = std::move(freshness);
  ledger_ = std::move(ledger);
  config_->on_change().Subscribe([this]() { ApplyDocument(); });
  ledger_->on_change().Subscribe([this]() { ApplyShares(); });
  ledger_->SetLentSource(
      [this](BudgetScope scope) { return LargestLentShare(scope); });
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

void ShareBudgets::Start() {
  tick_.Start();
}

void ShareBudgets::Stop() {
  tick_.Stop();
}

Result<std::unique_ptr<Reservation>> ShareBudgets::Reserve(
    const std::vector<Charge>& charges,
    TimePoint deadline,
    bool allow_stale) {
  const TimePoint now = Clock::now();
  if (!allow_stale && !freshness_->IsFresh(now)) {
    return StaleFailure();
  }
  std::unique_ptr<ShareReservation> reservation =
      std::make_unique<ShareReservation>();
  for (const Charge& charge : charges) {
    const auto found = accounts_.find(charge.budget);
    if (found == accounts_.end()) {
      continue;
    }
    const Result<void> announced =
        Announce(found->first, found->second, charge, deadline, now);
    if (!announced) {
      return announced.error();
    }
    reservation->Add(found->second, charge);
  }
  return std::unique_ptr<Reservation>(std::move(reservation));
}

Result<void> ShareBudgets::Acquire(const Charge& charge,
                                   TimePoint deadline,
                                   bool allow_stale,
                                   const Yield& yield) {
  const TimePoint now = Clock::now();
  if (!allow_stale && !freshness_->IsFresh(now)) {
    return StaleFailure();
  }
  const auto found = accounts_.find(charge.budget);
  if (found == accounts_.end()) {
    return boost::outcome_v2::success();
  }
  BudgetAccount& account = found->second;
  const Result<void> announced =
      Announce(found->first, account, charge, deadline, now);
  if (!announced) {
    return announced;
  }
  if (account.CanSpend(charge.amount, now)) {
    account.bucket.TrySpend(charge.amount, now);
    account.spent += charge.amount;
    return boost::outcome_v2::success();
  }
  if (account.waiters.size() >= options_.max_waiters ||
      !Wait(account, charge.amount, /*pacing=*/false,
            std::min<TimePoint>(deadline, now + options_.max_wait), yield)) {
    return account.Refuse(charge);
  }
  return boost::outcome_v2::success();
}

bool ShareBudgets::Pace(std::string_view name,
                        double amount,
                        TimePoint deadline,
                        const Yield& yield) {
  const auto found = accounts_.find(name);
  if (found == accounts_.end()) {
    return true;
  }
  BudgetAccount& account = found->second;
  const TimePoint now = Clock::now();
  account.NoteDemand(amount, now);
  if (account.CanSpend(amount, now)) {
    account.bucket.TrySpend(amount, now);
    account.spent += amount;
    return true;
  }
  return Wait(account, amount, /*pacing=*/true, deadline, yield);
}

std::vector<BudgetStatus> ShareBudgets::Status() {
  std::vector<BudgetStatus> list;
  const TimePoint now = Clock::now();
  for (auto& [name, account] : accounts_) {
    const double tokens = account.bucket.Tokens(now);
    list.push_back(
        {name, account.bucket.spec().rate, account.bucket.spec().burst,
         account.bucket.own_share(), account.bucket.lent_share(),
         account.bucket.borrowed_share(), tokens, account.demand.rate(),
         account.waiters.size(), account.spent, account.refused});
  }
  return list;
}

void ShareBudgets::ApplyDocument() {
  const TimePoint now = Clock::now();
  for (const BudgetSpec& spec :
       SpecsOf(*config_->document(), identity_->region)) {
    const auto account = accounts_.find(spec.name);
    if (account == accounts_.end()) {
      accounts_.emplace(std::piecewise_construct,
                        std::forward_as_tuple(spec.name),
                        std::forward_as_tuple(spec, now));
    } else {
      account->second.bucket.SetSpec(spec, now);
    }
  }
  ApplyShares();
}

void ShareBudgets::ApplyShares() {
  const TimePoint now = Clock::now();
  for (auto& [name, account] : accounts_) {
    account.bucket.SetOwnShare(
        ledger_->OwnShare(account.bucket.spec().scope, now), now);
  }
}

double ShareBudgets::LargestLentShare(BudgetScope scope) {
  double largest = 0;
  const TimePoint now = Clock::now();
  for (auto& [name, account] : accounts_) {
    if (account.bucket.spec().scope == scope) {
      account.bucket.Tokens(now);
      largest = std::max(largest, account.bucket.lent_share());
    }
  }
  return largest;
}

void ShareBudgets::Tick() {
  const TimePoint now = Clock::now();
  for (auto request = open_requests_.begin();
       request != open_requests_.end();) {
    const bool lost = now - request->second.sent_at > kRequestTimeout;
    request = lost ? open_requests_.erase(request) : std::next(request);
  }
  for (auto& [name, account] : accounts_) {
    account.demand.Update(now);
    GrantWaiters(account, now);
    if (now - account.last_used > kIdleTime && account.waiters.empty() &&
        account.reserved_amount <= 0) {
      account.largest_amount = 0;
      continue;
    }
    RenewLeases(name, account, now);
    BorrowFor(name, account, now);
  }
}

void ShareBudgets::GrantWaiters(BudgetAccount& account, TimePoint now) {
  while (!account.waiters.empty()) {
    const std::shared_ptr<TokenWaiter> waiter = account.waiters.front();
    if (!account.bucket.TrySpend(waiter->amount, now)) {
      return;
    }
    account.waiters.pop_front();
    account.waiting_amount -= waiter->amount;
    account.spent += waiter->amount;
    waiter->granted = true;
    waiter->timer.cancel();
  }
}

bool ShareBudgets::Wait(BudgetAccount& account,
                        double amount,
                        bool pacing,
                        TimePoint deadline,
                        const Yield& yield) {
  const std::shared_ptr<TokenWaiter> waiter =
      std::make_shared<TokenWaiter>(io_, amount, pacing);
  // What has begun goes on before anything new begins.
  const auto place_in_queue =
      pacing ? std::find_if(account.waiters.begin(), account.waiters.end(),
                            [](const std::shared_ptr<TokenWaiter>& other) {
                              return !other->pacing;
                            })
             : account.waiters.end();
  account.waiters.insert(place_in_queue, waiter);
  account.waiting_amount += amount;
  waiter->timer.expires_at(deadline);
  boost::system::error_code ignored;
  waiter->timer.async_wait(yield[ignored]);
  if (waiter->granted) {
    return true;
  }
  const auto place =
      std::find(account.waiters.begin(), account.waiters.end(), waiter);
  if (place != account.waiters.end()) {
    account.waiters.erase(place);
    account.waiting_amount -= amount;
  }
  return false;
}

bool ShareBudgets::Hopeless(const std::string& name,
                            BudgetAccount& account,
                            double amount,
                            TimePoint deadline,
                            TimePoint now) {
  const double wait_limit =
      ToSeconds(std::min<Clock::duration>(options_.max_wait, deadline - now));
  // Where more can be borrowed, the whole rate may come; else only what is
  // held here.
  const double rate = MayBorrow(name, account, now) ? account.bucket.spec().rate
                                                    : account.bucket.Rate();
  return account.waiting_amount + account.reserved_amount + amount >
         rate * wait_limit + account.bucket.Tokens(now);
}

Result<void> ShareBudgets::Announce(const std::string& name,
                                    BudgetAccount& account,
                                    const Charge& charge,
                                    TimePoint deadline,
                                    TimePoint now) {
  account.NoteDemand(charge.amount, now);
  const bool queued =
      account.reserved_amount > 0 || !account.CanSpend(charge.amount, now);
  // Requests far beyond the rate are refused at once, before they queue: the
  // answer is final and says when to come back.
  if (queued && Hopeless(name, account, charge.amount, deadline, now)) {
    return account.Refuse(charge);
  }
  return boost::outcome_v2::success();
}

bool ShareBudgets::MayBorrow(const std::string& name,
                             BudgetAccount& account,
                             TimePoint now) {
  if (policy_->ShareToBorrow(account) <= 0) {
    account.starved_since = TimePoint::max();
    return false;
  }
  if (OpenShare(name) > 0 || !Lenders(account, now).empty()) {
    account.starved_since = TimePoint::max();
    return true;
  }
  account.starved_since = std::min(account.starved_since, now);
  // Leases that a demand elsewhere has left behind come back within this time.
  return now - account.starved_since < options_.lease_duration;
}

void ShareBudgets::BorrowFor(const std::string& name,
                             BudgetAccount& account,
                             TimePoint now) {
  // What has been asked for counts as held, so that no more is asked for than
  // there is room.
  const double missing = policy_->ShareToBorrow(account) - OpenShare(name);
  if (missing <= 0) {
    return;
  }
  const std::vector<const Member*> lenders = Lenders(account, now);
  if (lenders.empty()) {
    return;
  }
  // A peer holds about an equal share: ask as many as are likely needed.
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

void ShareBudgets::RenewLeases(const std::string& name,
                               BudgetAccount& account,
                               TimePoint now) {
  ReturnSurplus(name, account, now);
  for (const ShareLease& lease : account.bucket.borrowed()) {
    if (lease.until - now > options_.lease_duration / 2) {
      continue;
    }
    const bool asked = std::any_of(
        open_requests_.begin(), open_requests_.end(),
        [&lease](const std::pair<const uint64_t, OpenRequest>& item) {
          return item.second.lease_id == lease.id;
        });
    if (!asked) {
      SendRequest(lease.peer, {name, lease.peer, lease.id, 0, now}, now);
    }
  }
}

void ShareBudgets::ReturnSurplus(const std::string& name,
                                 BudgetAccount& account,
                                 TimePoint now) {
  double surplus = account.bucket.EffectiveShare() - account.NeededShare();
  const std::vector<ShareLease> borrowed = account.bucket.borrowed();
  for (const ShareLease& lease : borrowed) {
    const Member* const member = membership_->Find(lease.peer);
    if (lease.share > surplus || member == nullptr) {
      continue;
    }
    surplus -= lease.share;
    // Given up here before the lender hears of it. A return that gets lost
    // costs the lender the rest of the lease.
    const double tokens = account.bucket.Return(lease.id, now);
    transport_->Send(UdpEndpoint(member->peer_address),
                     MessageKind::kLeaseReturn,
                     EncodePayload(LeaseReturn{lease.id, name, tokens}));
  }
}

void ShareBudgets::SendRequest(const std::string& peer,
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

double ShareBudgets::OpenShare(const std::string& budget) const {
  double sum = 0;
  for (const auto& [id, request] : open_requests_) {
    if (request.budget == budget) {
      sum += request.share;
    }
  }
  return sum;
}

std::vector<const Member*> ShareBudgets::Lenders(const BudgetAccount& account,
                                                 TimePoint now) {
  const BudgetSpec& spec = account.bucket.spec();
  std::vector<const Member*> lenders;
  for (const auto& [name, member] : membership_->members()) {
    const bool same_region = member.region == identity_->region;
    const auto refused = account.refused_until.find(name);
    const bool has_none =
        refused != account.refused_until.end() && now < refused->second;
    if (member.usable() && !has_none &&
        (spec.scope == BudgetScope::kFleet || same_region)) {
      lenders.push_back(&member);
    }
  }
  std::shuffle(lenders.begin(), lenders.end(), random_);
  // Answers from the own region come sooner.
  std::stable_partition(lenders.begin(), lenders.end(),
                        [this](const Member* member) {
                          return member->region == identity_->region;
                        });
  return lenders;
}

void ShareBudgets::HandleRequest(const Envelope& envelope) {
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
  grant.duration_ms = static_cast<uint32_t>(options_.lease_duration.count());
  const TimePoint until = now +
                          std::chrono::duration_cast<Clock::duration>(
                              options_.lease_duration * kLenderMargin) +
                          kLenderExtra;
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

void ShareBudgets::HandleReturn(const Envelope& envelope) {
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
  found->second.bucket.TakeBack(decoded.value().lease_id, envelope.sender,
                                decoded.value().tokens, now);
  GrantWaiters(found->second, now);
}

void ShareBudgets::HandleGrant(const Envelope& envelope) {
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
    found->second.refused_until[envelope.sender] = now + kRefusalTime;
    return;
  }
  // Counted from the sending of the request, so that the lease ends here
  // before it ends at the lender.
  const TimePoint until = request.sent_at + Milliseconds(grant.duration_ms);
  ShareBucket& bucket = found->second.bucket;
  if (request.lease_id != 0) {
    bucket.ExtendBorrowed(request.lease_id, until, now);
  } else {
    bucket.Borrow({grant.lease_id, envelope.sender, grant.share, until},
                  grant.tokens, now);
    GrantWaiters(found->second, now);
  }
}

}  // namespace redwing
