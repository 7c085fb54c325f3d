#include "budget/internal/share_reservation.h"

#include <algorithm>

#include "budget/internal/budget_account.h"

namespace redwing {

ShareReservation::~ShareReservation() {
  Withdraw();
}

void ShareReservation::Add(BudgetAccount& account, const Charge& charge) {
  account.reserved_amount += charge.amount;
  parts_.push_back({&account, charge});
}

bool ShareReservation::TryPay() {
  const TimePoint now = Clock::now();
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
  return true;
}

Failure ShareReservation::Refuse() {
  const TimePoint now = Clock::now();
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
  for (const Part& part : parts_) {
    part.account->reserved_amount -= part.charge.amount;
  }
  parts_.clear();
}

}  // namespace redwing
