#include "budget/internal/budget_account.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "framework/log/log.h"

namespace redwing {

namespace {
// Factor by which the needed rate exceeds the estimated demand.
constexpr double kHeadroom = 1.25;
// Time within which a backlog should be cleared.
constexpr double kBacklogSeconds = 0.2;
// An instance whose tokens last this long does not borrow. Longer than
// borrowing from another region takes.
constexpr double kReserveSeconds = 0.3;
// Demand below this fraction of the budget's rate counts as none.
constexpr double kIdleFraction = 1e-4;
// Minimum capacity of a bucket, as a multiple of the largest request: it must
// hold more than one request.
constexpr double kMinCapacity = 1.5;
constexpr Milliseconds kMaxRetryAfter{60'000};
// Minimum rate, as a fraction of the budget's rate, assumed for the retry delay
// of a rejected request.
constexpr double kMinRateFraction = 0.01;
}  // namespace

void BudgetAccount::AddDemand(double amount, TimePoint now) {
  demand.Add(amount);
  unreported_demand += amount;
  largest_amount = std::max(largest_amount, amount);
  last_used = now;
}

double BudgetAccount::TakeUnreportedDemand() {
  return std::min(std::exchange(unreported_demand, 0), demand.recent());
}

bool BudgetAccount::CanSpend(double amount, TimePoint now) {
  return waiters.empty() && Available(now) >= amount;
}

double BudgetAccount::Available(TimePoint now) {
  return bucket.Tokens(now) + granted_tokens.Amount(now);
}

bool BudgetAccount::TrySpend(double amount, TimePoint now) {
  if (Available(now) < amount) {
    return false;
  }
  const double rest = amount - granted_tokens.Spend(amount, now);
  if (rest > 0) {
    bucket.TrySpend(std::min(rest, bucket.held_tokens()), now);
  }
  spent += amount;
  return true;
}

void BudgetAccount::GrantWaiters(TimePoint now) {
  while (!waiters.empty()) {
    const std::shared_ptr<TokenWaiter> waiter = waiters.front();
    if (!TrySpend(waiter->amount, now)) {
      return;
    }
    waiters.pop_front();
    waiting_amount -= waiter->amount;
    waiter->granted = true;
    waiter->timer.cancel();
  }
}

Failure BudgetAccount::Refuse(const Charge& charge, TimePoint now) {
  refused += charge.amount;
  const double rate =
      std::max(bucket.Rate(), bucket.spec().rate * kMinRateFraction);
  const double seconds =
      (waiting_amount + reserved_amount + charge.amount) / rate;
  Milliseconds wait(static_cast<int64_t>(std::ceil(seconds * 1000)));
  if (tokens_expected_at > now) {
    wait = std::chrono::ceil<Milliseconds>(tokens_expected_at - now);
  }
  const Milliseconds retry_after =
      std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  LogRefusal(charge.budget, retry_after, now);
  return NotRun(charge.rejection_error,
                "rate limit exceeded for budget " + charge.budget, retry_after);
}

void BudgetAccount::LogRefusal(std::string_view budget,
                               Milliseconds retry_after,
                               TimePoint now) {
  if (!refusal_lines.TryTake(now)) {
    return;
  }
  spdlog::info(
      "event=over_rate budget={} holder={} rate={:.1f} burst={:.1f} "
      "own_share={:.3f} lent={:.3f} borrowed={:.3f} tokens={:.2f} drawn={:.2f} "
      "handed_out={:.2f} demand={:.1f} waiting={:.1f} reserved={:.1f} "
      "remote={:.1f} retry_after_ms={}",
      budget, is_holder, bucket.spec().rate, bucket.spec().burst,
      bucket.own_share(), bucket.lent_share(), bucket.borrowed_share(),
      bucket.held_tokens(), granted_tokens.Amount(now),
      bucket.outstanding_tokens(), demand.rate(), waiting_amount,
      reserved_amount, remote_backlog, retry_after.count());
}

double BudgetAccount::NeededRate() const {
  // The rate does not include the first requests after a pause yet, so pending
  // demand counts as backlog.
  const double backlog =
      waiting_amount + reserved_amount + remote_backlog + demand.pending();
  return demand.rate() * kHeadroom + backlog / kBacklogSeconds;
}

bool BudgetAccount::HasReserve() const {
  const double backlog =
      waiting_amount + reserved_amount + remote_backlog + demand.pending();
  return bucket.held_tokens() >=
         backlog + demand.rate() * kHeadroom * kReserveSeconds;
}

double BudgetAccount::NeededShare() const {
  const BudgetSpec& spec = bucket.spec();
  const double rate = NeededRate();
  if (!is_holder || rate <= spec.rate * kIdleFraction) {
    return 0;
  }
  const double for_capacity = kMinCapacity * largest_amount / spec.burst;
  return std::min(1.0, std::max(rate / spec.rate, for_capacity));
}

}  // namespace redwing
