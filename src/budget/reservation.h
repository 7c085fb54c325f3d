#ifndef REDWING_BUDGET_RESERVATION_H_
#define REDWING_BUDGET_RESERVATION_H_

#include "framework/errors/failure.h"
#include "framework/errors/result.h"
#include "framework/kernel/clock.h"

namespace redwing {

// Charges that a request has announced and pays at the moment at which it
// goes to its target. Destruction withdraws what was not paid.
class Reservation {
 public:
  virtual ~Reservation() = default;

  // Pays all charges, or none of them. Returns whether they are paid.
  virtual bool TryPay(TimePoint now) = 0;

  // To be asked just before what was paid for is sent. A payment that is older
  // than its lifetime has ended, since others may have spent meanwhile what was
  // due in that time: pays again, or fails with kNotRun.
  virtual Result<void> Renew(TimePoint now) = 0;

  // Counts a refusal for lack of tokens and returns it: kNotRun, the error of
  // the charge that is short, and when to come back.
  virtual Failure Refuse(TimePoint now) = 0;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_RESERVATION_H_
