#include "budget/internal/share_reservation.h"

#include <catch2/catch.hpp>

#include "budget/internal/budget_account.h"

namespace redwing {
namespace {

constexpr double kRate = 100;  // requests per second
constexpr double kBurst = 3;   // requests
constexpr Milliseconds kLifetime{20};

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

class ShareReservationTest {
 protected:
  ShareReservationTest()
      : account_({"b", BudgetScope::kFleet, kRate, kBurst}, kStart),
        reservation_(kLifetime, [this](TimePoint) { return fresh_; }) {
    account_.bucket.SetOwnShare(1, kStart);
    reservation_.Add(account_, {"b", 1, Errc::kRateExceeded});
  }

  // Returns a time at which the bucket is full.
  TimePoint full() const { return kStart + Milliseconds(1000); }

  bool fresh_ = true;
  BudgetAccount account_;
  ShareReservation reservation_;
};

TEST_CASE_METHOD(ShareReservationTest,
                 "a request that is sent at once is charged once") {
  REQUIRE(reservation_.TryCharge(full()));
  CHECK(reservation_.Renew(full() + kLifetime));
  CHECK(account_.spent == 1);
  CHECK(account_.reserved_amount == 0);
}

TEST_CASE_METHOD(
    ShareReservationTest,
    "a request that is sent after the charge lifetime is charged again") {
  REQUIRE(reservation_.TryCharge(full()));
  CHECK(reservation_.Renew(full() + Milliseconds(1500)));
  CHECK(account_.spent == 2);
  CHECK(account_.reserved_amount == 0);
}

TEST_CASE_METHOD(
    ShareReservationTest,
    "a request that is sent late is rejected if there are no tokens") {
  REQUIRE(reservation_.TryCharge(full()));
  const TimePoint late = full() + Milliseconds(1500);
  while (account_.CanSpend(1, late)) {
    account_.TrySpend(1, late);
  }
  const Result<void> renewed = reservation_.Renew(late);
  REQUIRE_FALSE(renewed);
  CHECK(renewed.error().errc == Errc::kRateExceeded);
  CHECK(renewed.error().verdict == Verdict::kNotRun);
  CHECK(renewed.error().retry_after > Milliseconds(0));
}

TEST_CASE_METHOD(
    ShareReservationTest,
    "an instance with stale state after a pause does not spend its share") {
  REQUIRE(reservation_.TryCharge(full()));
  fresh_ = false;
  const Result<void> renewed =
      reservation_.Renew(full() + Milliseconds(30'000));
  REQUIRE_FALSE(renewed);
  CHECK(renewed.error().errc == Errc::kStale);
  CHECK(renewed.error().verdict == Verdict::kNotRun);
  CHECK(account_.spent == 1);
}

}  // namespace
}  // namespace redwing
