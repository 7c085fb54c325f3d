#ifndef REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_
#define REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_

#include <functional>
#include <vector>

#include "budget/charge.h"
#include "budget/reservation.h"
#include "framework/errors/failure.h"

namespace redwing {

struct BudgetAccount;

// Fails with kStale: this instance's shares may have passed to others.
Failure StaleShareFailure();

// A reservation against accounts of this instance. Accounts live as long as
// the process.
class ShareReservation : public Reservation {
 public:
  // `may_spend` tells whether this instance's shares are still its own.
  ShareReservation(Milliseconds charge_lifetime,
                   std::function<bool(TimePoint)> may_spend);
  ~ShareReservation() override;
  ShareReservation(const ShareReservation&) = delete;
  ShareReservation& operator=(const ShareReservation&) = delete;

  // Announces a charge to its account.
  void Add(BudgetAccount& account, const Charge& charge);

  bool TryPay(TimePoint now) override;
  Result<void> Renew(TimePoint now) override;
  Failure Refuse(TimePoint now) override;

 private:
  struct ReservedCharge {
    BudgetAccount* account;
    Charge charge;
  };

  void Withdraw();

  Milliseconds charge_lifetime_;
  std::function<bool(TimePoint)> may_spend_;
  std::vector<ReservedCharge> charges_;
  // Whether the accounts count on the parts being paid.
  bool reserved_ = true;
  TimePoint charged_at_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_
