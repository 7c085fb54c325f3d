#include "budget/internal/budget_account.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

constexpr double kRate = 183;   // requests per second
constexpr double kBurst = 195;  // requests
constexpr Milliseconds kTick{20};

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

BudgetAccount MakeAccount(double share) {
  BudgetAccount account({"b", BudgetScope::kFleet, kRate, kBurst}, kStart);
  account.bucket.SetOwnShare(share, kStart);
  return account;
}

// Requests `per_tick` tokens in each tick, spending from the account's own
// share if it has enough. Returns the time of the last tick.
TimePoint Simulate(BudgetAccount& account, double per_tick, int ticks) {
  TimePoint now = kStart;
  for (int i = 0; i < ticks; ++i) {
    now += kTick;
    account.AddDemand(per_tick, now);
    account.TrySpend(per_tick, now);
    account.demand.Update(now);
  }
  return now;
}

TEST_CASE("demand served locally for a long time is not reported as a burst") {
  constexpr double kPerTick = 0.32;  // 16 per second
  constexpr int kTicks = 1500;       // 30 s
  BudgetAccount owner = MakeAccount(1.0 / 11);
  BudgetAccount holder = MakeAccount(1.0 / 11);
  Simulate(owner, kPerTick, kTicks);
  TimePoint now = Simulate(holder, kPerTick, kTicks);
  // The demand reported when the owner first requests tokens from the holder.
  holder.demand.Add(owner.TakeUnreportedDemand());
  now += kTick;
  holder.demand.Update(now);
  CAPTURE(holder.demand.rate(), holder.NeededShare());
  // Twice the holder's own demand plus an eighth of that as headroom.
  CHECK(holder.demand.rate() <= 2.25 * 16);
  CHECK(holder.NeededShare() < 0.5);
  // The demand is reported once.
  CHECK(owner.TakeUnreportedDemand() == 0);
}

TEST_CASE("a current burst is reported in full") {
  BudgetAccount account = MakeAccount(0);
  account.demand.Update(kStart);
  account.AddDemand(40, kStart + kTick);
  CHECK(account.TakeUnreportedDemand() == Approx(40));
}

}  // namespace
}  // namespace redwing
