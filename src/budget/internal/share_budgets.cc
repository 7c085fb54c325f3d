#include "budget/internal/share_budgets.h"

#include <algorithm>
#include <cmath>

#include "budget/budget_specs.h"
#include "budget/internal/lending_policy.h"
#include "budget/internal/share_ledger.h"
#include "budget/internal/share_reservation.h"
#include "config/freshness.h"
#include "config/steering_config.h"
#include "membership/identity.h"

namespace redwing {

namespace {

constexpr Milliseconds kTickInterval{20};
// Time without requests after which a budget is idle: it needs no refill.
constexpr Milliseconds kIdleTime{5000};

}  // namespace

ShareBudgets::ShareBudgets(boost::asio::io_context& io,
                           Metrics& metrics,
                           std::shared_ptr<Identity> identity,
                           std::unique_ptr<LendingPolicy> policy,
                           BudgetOptions options)
    : io_(io),
      identity_(identity),
      options_(options),
      leases_(metrics,
              std::move(identity),
              std::move(policy),
              options.lease_duration,
              accounts_),
      tokens_(metrics, identity_, accounts_),
      tick_(io, kTickInterval, [this]() { Tick(); }) {}

ShareBudgets::~ShareBudgets() = default;

void ShareBudgets::Attach(std::shared_ptr<PeerTransport> transport,
                          std::shared_ptr<Membership> membership,
                          std::shared_ptr<SteeringConfig> config,
                          std::shared_ptr<Freshness> freshness,
                          std::shared_ptr<ShareLedger> ledger) {
  leases_.Attach(transport, membership, freshness, ledger);
  tokens_.Attach(std::move(transport), std::move(membership), freshness, ledger,
                 &leases_);
  config_ = std::move(config);
  freshness_ = std::move(freshness);
  ledger_ = std::move(ledger);
  config_->on_change().Subscribe([this]() { ApplyDocument(); });
  ledger_->on_change().Subscribe([this]() { ApplyShares(); });
  ledger_->SetLentSource(
      [this](BudgetScope scope) { return LargestLentShare(scope); });
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
  if (!MaySpend(allow_stale, now)) {
    return StaleShareFailure();
  }
  std::unique_ptr<ShareReservation> reservation =
      std::make_unique<ShareReservation>(options_.charge_lifetime,
                                         [this, allow_stale](TimePoint time) {
                                           return MaySpend(allow_stale, time);
                                         });
  for (const Charge& charge : charges) {
    const auto found = accounts_.find(charge.budget);
    if (found == accounts_.end()) {
      continue;
    }
    const Result<void> admitted =
        AdmitToQueue(found->first, found->second, charge, deadline, now);
    if (!admitted) {
      return admitted.error();
    }
    reservation->Add(found->second, charge);
    if (!found->second.is_holder) {
      tokens_.RequestTokens(found->first, found->second, now);
    }
  }
  return std::unique_ptr<Reservation>(std::move(reservation));
}

Result<void> ShareBudgets::Acquire(const Charge& charge,
                                   TimePoint deadline,
                                   bool allow_stale,
                                   const Yield& yield) {
  const TimePoint now = Clock::now();
  if (!MaySpend(allow_stale, now)) {
    return StaleShareFailure();
  }
  const auto found = accounts_.find(charge.budget);
  if (found == accounts_.end()) {
    return boost::outcome_v2::success();
  }
  BudgetAccount& account = found->second;
  const Result<void> admitted =
      AdmitToQueue(found->first, account, charge, deadline, now);
  if (!admitted) {
    return admitted;
  }
  if (account.CanSpend(charge.amount, now)) {
    account.TrySpend(charge.amount, now);
    return boost::outcome_v2::success();
  }
  if (account.waiters.size() >= options_.max_waiters ||
      !Wait(account, charge.amount, /*pacing=*/false,
            std::min<TimePoint>(deadline, now + options_.max_wait), yield)) {
    return account.Refuse(charge, Clock::now());
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
  account.AddDemand(amount, now);
  if (account.CanSpend(amount, now)) {
    account.TrySpend(amount, now);
    return true;
  }
  return Wait(account, amount, /*pacing=*/true, deadline, yield);
}

std::vector<BudgetStatus> ShareBudgets::Status() {
  std::vector<BudgetStatus> list;
  const TimePoint now = Clock::now();
  for (auto& [name, account] : accounts_) {
    const double tokens = account.Available(now);
    list.push_back(
        {name, account.bucket.spec().rate, account.bucket.spec().burst,
         account.bucket.own_share(), account.bucket.lent_share(),
         account.bucket.borrowed_share(), tokens, account.demand.rate(),
         account.waiters.size(), account.spent, account.refused});
  }
  return list;
}

bool ShareBudgets::MaySpend(bool allow_stale, TimePoint now) const {
  return allow_stale || freshness_->IsFresh(now);
}

void ShareBudgets::ApplyDocument() {
  const TimePoint now = Clock::now();
  for (const BudgetSpec& spec :
       BudgetSpecsOf(*config_->document(), identity_->region, options_)) {
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
      const ShareBucket& bucket = account.bucket;
      largest =
          std::max(largest, bucket.lent_share() + bucket.outstanding_tokens() /
                                                      bucket.spec().burst);
    }
  }
  return largest;
}

void ShareBudgets::Tick() {
  const TimePoint now = Clock::now();
  leases_.ExpireRequests(now);
  tokens_.ExpireRequests(now);
  for (auto& [name, account] : accounts_) {
    account.demand.Update(now);
    account.remote_backlog = account.remote.Amount(now);
    account.GrantWaiters(now);
    if (now - account.last_used > kIdleTime && account.waiters.empty() &&
        account.reserved_amount <= 0) {
      account.largest_amount = 0;
      continue;
    }
    Refill(name, account, now);
  }
}

void ShareBudgets::Refill(const std::string& name,
                          BudgetAccount& account,
                          TimePoint now) {
  account.is_holder = tokens_.IsHolder(name, account, now);
  leases_.Renew(name, account, now);
  if (account.is_holder) {
    leases_.BorrowFor(name, account, now);
  } else {
    tokens_.RequestTokens(name, account, now);
  }
}

bool ShareBudgets::Wait(BudgetAccount& account,
                        double amount,
                        bool pacing,
                        TimePoint deadline,
                        const Yield& yield) {
  const std::shared_ptr<TokenWaiter> waiter =
      std::make_shared<TokenWaiter>(io_, amount, pacing);
  // Transfers that have begun take precedence over new requests.
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
  const auto position =
      std::find(account.waiters.begin(), account.waiters.end(), waiter);
  if (position != account.waiters.end()) {
    account.waiters.erase(position);
    account.waiting_amount -= amount;
  }
  return false;
}

bool ShareBudgets::CannotServeInTime(const std::string& name,
                                     BudgetAccount& account,
                                     double amount,
                                     TimePoint deadline,
                                     TimePoint now) {
  if (!account.is_holder) {
    return !tokens_.MayReceiveTokens(
        name, account,
        std::min<Clock::duration>(options_.max_wait, deadline - now), now);
  }
  const double wait_limit =
      ToSeconds(std::min<Clock::duration>(options_.max_wait, deadline - now));
  // If more share can be borrowed, up to the whole rate may become available;
  // otherwise only the rate of this instance's share.
  const double rate = leases_.MayBorrow(name, account, now)
                          ? account.bucket.spec().rate
                          : account.bucket.Rate();
  return account.waiting_amount + account.reserved_amount + amount >
         rate * wait_limit + account.bucket.Tokens(now);
}

Result<void> ShareBudgets::AdmitToQueue(const std::string& name,
                                        BudgetAccount& account,
                                        const Charge& charge,
                                        TimePoint deadline,
                                        TimePoint now) {
  account.AddDemand(charge.amount, now);
  account.is_holder = tokens_.IsHolder(name, account, now);
  const bool queued =
      account.reserved_amount > 0 || !account.CanSpend(charge.amount, now);
  // Reject requests far beyond the rate immediately instead of queueing them:
  // the response is final and contains a retry delay.
  if (queued &&
      CannotServeInTime(name, account, charge.amount, deadline, now)) {
    return account.Refuse(charge, now);
  }
  return boost::outcome_v2::success();
}

}  // namespace redwing
