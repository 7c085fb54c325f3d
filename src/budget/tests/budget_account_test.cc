#include "budget/internal/budget_account.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

constexpr double kRate = 183;   // requests a second
constexpr double kBurst = 195;  // requests
constexpr Milliseconds kTick{20};

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

BudgetAccount MakeAccount(double share) {
  BudgetAccount account({"b", BudgetScope::kFleet, kRate, kBurst}, kStart);
  account.bucket.SetOwnShare(share, kStart);
  return account;
}

// Asks for `per_tick` in each tick, served from the account's own share.
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

TEST_CASE("an owner that has served itself for long tells no burst") {
  constexpr double kPerTick = 0.32;  // 16 a second
  constexpr int kTicks = 1500;       // 30 s
  BudgetAccount owner = MakeAccount(1.0 / 11);
  BudgetAccount holder = MakeAccount(1.0 / 11);
  Simulate(owner, kPerTick, kTicks);
  TimePoint now = Simulate(holder, kPerTick, kTicks);
  // What the holder is told when the owner first needs it.
  holder.demand.Add(owner.TakeUnreportedDemand());
  now += kTick;
  holder.demand.Update(now);
  CAPTURE(holder.demand.rate(), holder.NeededShare());
  // Twice the holder's own demand, and an eighth to keep up with it.
  CHECK(holder.demand.rate() <= 2.25 * 16);
  CHECK(holder.NeededShare() < 0.5);
  // It is told once.
  CHECK(owner.TakeUnreportedDemand() == 0);
}

TEST_CASE("a burst of now is told whole") {
  BudgetAccount account = MakeAccount(0);
  account.demand.Update(kStart);
  account.AddDemand(40, kStart + kTick);
  CHECK(account.TakeUnreportedDemand() == Approx(40));
}

}  // namespace
}  // namespace redwing
