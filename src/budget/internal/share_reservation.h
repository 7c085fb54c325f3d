#ifndef REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_
#define REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_

#include <vector>

#include "budget/charge.h"
#include "budget/reservation.h"

namespace redwing {

struct BudgetAccount;

// A reservation against accounts of this instance. Accounts live as long as
// the process.
class ShareReservation : public Reservation {
 public:
  ShareReservation() = default;
  ~ShareReservation() override;
  ShareReservation(const ShareReservation&) = delete;
  ShareReservation& operator=(const ShareReservation&) = delete;

  // Announces a charge to its account.
  void Add(BudgetAccount& account, const Charge& charge);

  bool TryPay() override;
  Failure Refuse() override;

 private:
  struct Part {
    BudgetAccount* account;
    Charge charge;
  };

  void Withdraw();

  std::vector<Part> parts_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_SHARE_RESERVATION_H_
