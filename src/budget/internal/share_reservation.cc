#include "budget/internal/share_reservation.h"

#include <algorithm>
#include <utility>

#include "budget/internal/budget_account.h"

namespace redwing {

Failure StaleShareFailure() {
  return NotRun(Errc::kStale,
                "state of this instance is stale: not connected to the fleet",
                Milliseconds(1000));
}

ShareReservation::ShareReservation(Milliseconds charge_lifetime,
                                   std::function<bool(TimePoint)> may_spend)
    : charge_lifetime_(charge_lifetime), may_spend_(std::move(may_spend)) {}

ShareReservation::~ShareReservation() {
  Withdraw();
}

void ShareReservation::Add(BudgetAccount& account, const Charge& charge) {
  account.reserved_amount += charge.amount;
  charges_.push_back({&account, charge});
}

bool ShareReservation::TryCharge(TimePoint now) {
  const bool affordable = std::all_of(
      charges_.begin(), charges_.end(), [now](const ReservedCharge& item) {
        return item.account->CanSpend(item.charge.amount, now);
      });
  if (!affordable) {
    return false;
  }
  for (const ReservedCharge& item : charges_) {
    item.account->TrySpend(item.charge.amount, now);
  }
  Withdraw();
  charged_at_ = now;
  return true;
}

Result<void> ShareReservation::Renew(TimePoint now) {
  if (charges_.empty() || now - charged_at_ <= charge_lifetime_) {
    return boost::outcome_v2::success();
  }
  if (!may_spend_(now)) {
    return StaleShareFailure();
  }
  if (!TryCharge(now)) {
    return Refuse(now);
  }
  return boost::outcome_v2::success();
}

Failure ShareReservation::Refuse(TimePoint now) {
  const auto short_item = std::find_if(
      charges_.begin(), charges_.end(), [now](const ReservedCharge& item) {
        return !item.account->CanSpend(item.charge.amount, now);
      });
  if (short_item == charges_.end()) {
    // Tokens became available after the request stopped waiting.
    return NotRun(Errc::kRateExceeded,
                  "no tokens available before the deadline", kMinRetryAfter);
  }
  return short_item->account->Refuse(short_item->charge, now);
}

void ShareReservation::Withdraw() {
  if (!reserved_) {
    return;
  }
  for (const ReservedCharge& item : charges_) {
    item.account->reserved_amount -= item.charge.amount;
  }
  reserved_ = false;
}

}  // namespace redwing
