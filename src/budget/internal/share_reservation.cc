#include "budget/internal/share_reservation.h"

#include <algorithm>
#include <utility>

#include "budget/internal/budget_account.h"

namespace redwing {

Failure OutOfTouch() {
  return NotRun(Errc::kStale,
                "this instance has lost touch with the rest of the fleet",
                Milliseconds(1000));
}

ShareReservation::ShareReservation(Milliseconds payment_lifetime,
                                   std::function<bool(TimePoint)> may_spend)
    : payment_lifetime_(payment_lifetime), may_spend_(std::move(may_spend)) {}

ShareReservation::~ShareReservation() {
  Withdraw();
}

void ShareReservation::Add(BudgetAccount& account, const Charge& charge) {
  account.reserved_amount += charge.amount;
  parts_.push_back({&account, charge});
}

bool ShareReservation::TryPay(TimePoint now) {
  const bool payable =
      std::all_of(parts_.begin(), parts_.end(), [now](const Part& part) {
        return part.account->CanSpend(part.charge.amount, now);
      });
  if (!payable) {
    return false;
  }
  for (const Part& part : parts_) {
    part.account->TrySpend(part.charge.amount, now);
  }
  Withdraw();
  paid_at_ = now;
  return true;
}

Result<void> ShareReservation::Renew(TimePoint now) {
  if (parts_.empty() || now - paid_at_ <= payment_lifetime_) {
    return boost::outcome_v2::success();
  }
  if (!may_spend_(now)) {
    return OutOfTouch();
  }
  if (!TryPay(now)) {
    return Refuse(now);
  }
  return boost::outcome_v2::success();
}

Failure ShareReservation::Refuse(TimePoint now) {
  const auto short_part =
      std::find_if(parts_.begin(), parts_.end(), [now](const Part& part) {
        return !part.account->CanSpend(part.charge.amount, now);
      });
  if (short_part == parts_.end()) {
    // Tokens came just as the request gave up.
    return NotRun(Errc::kRateExceeded, "no tokens in time", kMinRetryAfter);
  }
  return short_part->account->Refuse(short_part->charge, now);
}

void ShareReservation::Withdraw() {
  if (!announced_) {
    return;
  }
  for (const Part& part : parts_) {
    part.account->reserved_amount -= part.charge.amount;
  }
  announced_ = false;
}

}  // namespace redwing
