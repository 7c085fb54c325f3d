#ifndef REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_
#define REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_

#include <functional>
#include <vector>

#include "budget/charge.h"
#include "budget/reservation.h"
#include "framework/errors/failure.h"

namespace redwing {

struct BudgetAccount;

// Returns the kStale failure of an instance whose state is stale: its shares
// may belong to others.
Failure StaleShareFailure();

// Reservation against accounts of this instance, which live as long as the
// process.
class ShareReservation : public Reservation {
 public:
  // `may_spend` returns whether this instance's shares still belong to it.
  ShareReservation(Milliseconds charge_lifetime,
                   std::function<bool(TimePoint)> may_spend);
  ~ShareReservation() override;
  ShareReservation(const ShareReservation&) = delete;
  ShareReservation& operator=(const ShareReservation&) = delete;

  // Adds a charge and reserves its amount in the account.
  void Add(BudgetAccount& account, const Charge& charge);

  bool TryCharge(TimePoint now) override;
  Result<void> Renew(TimePoint now) override;
  Failure Refuse(TimePoint now) override;

 private:
  struct ReservedCharge {
    BudgetAccount* account;
    Charge charge;
  };

  // Cancels the reserved amounts that were not charged.
  void Withdraw();

  Milliseconds charge_lifetime_;
  std::function<bool(TimePoint)> may_spend_;
  std::vector<ReservedCharge> charges_;
  // Whether the amounts are still reserved in the accounts.
  bool reserved_ = true;
  TimePoint charged_at_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_
