#ifndef REDWING_BUDGET_TOKEN_GRANT_RECORD_H_
#define REDWING_BUDGET_TOKEN_GRANT_RECORD_H_

#include <cstdint>
#include <string>

#include "framework/kernel/clock.h"

namespace redwing {

// Tokens of a budget that an owner of a share has handed to another instance.
struct TokenGrantRecord {
  uint64_t id = 0;
  std::string peer;
  double amount = 0;
  // Not spent later than this, on the clock of the instance that counts it.
  TimePoint until;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_TOKEN_GRANT_RECORD_H_
