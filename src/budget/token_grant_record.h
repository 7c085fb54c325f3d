#ifndef REDWING_BUDGET_TOKEN_GRANT_RECORD_H_
#define REDWING_BUDGET_TOKEN_GRANT_RECORD_H_

#include <cstdint>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Tokens of a budget that a share owner has granted to another instance.
struct TokenGrantRecord {
  uint64_t id = 0;
  std::string peer;  // the other instance: recipient or share owner
  double amount = 0;
  // Expiry on the clock of the instance that stores this copy.
  TimePoint until;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_TOKEN_GRANT_RECORD_H_
