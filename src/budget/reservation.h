#ifndef REDWING_BUDGET_RESERVATION_H_
#define REDWING_BUDGET_RESERVATION_H_

#include "framework/errors/failure.h"
#include "framework/errors/result.h"
#include "framework/kernel/clock.h"

namespace redwing {

// Charges reserved for a request, made when the request is sent to its target.
// Destruction cancels a reservation that was not charged.
class Reservation {
 public:
  virtual ~Reservation() = default;

  // Makes all charges if every budget has enough tokens, otherwise none.
  // Returns whether they were made.
  virtual bool TryCharge(TimePoint now) = 0;

  // Confirms the charges immediately before the request is sent. Charges older
  // than their lifetime have expired, because the tokens that accrued since may
  // have been spent by others: charges again, or fails with kNotRun.
  virtual Result<void> Renew(TimePoint now) = 0;

  // Counts a rejection for lack of tokens and returns it: kNotRun with the
  // error of the first charge that lacks tokens and a retry delay.
  virtual Failure Refuse(TimePoint now) = 0;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_RESERVATION_H_
