#ifndef REDWING_BUDGET_CHARGE_H_
#define REDWING_BUDGET_CHARGE_H_

#include <string>

#include "framework/errors/errc.h"

namespace redwing {

// Amount that a request is charged against one budget.
struct Charge {
  std::string budget;
  double amount = 0;  // units of the budget
  // Error code with which the request is rejected if the budget lacks tokens.
  Errc rejection_error = Errc::kRateExceeded;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_CHARGE_H_
