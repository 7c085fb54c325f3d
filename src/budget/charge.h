#ifndef REDWING_BUDGET_CHARGE_H_
#define REDWING_BUDGET_CHARGE_H_

#include <string>

#include "framework/errors/errc.h"

namespace redwing {

// What a request takes of one budget.
struct Charge {
  std::string budget;
  double amount = 0;  // units of the budget
  // Names the budget that is full in a refusal.
  Errc when_full = Errc::kRateExceeded;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_CHARGE_H_
