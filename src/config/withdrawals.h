#ifndef REDWING_CONFIG_WITHDRAWALS_H_
#define REDWING_CONFIG_WITHDRAWALS_H_

#include <string>
#include <string_view>
#include <vector>

#include "keys/withdrawal.h"

namespace redwing {

// How far a withdrawal has come.
struct WithdrawalStatus {
  size_t acknowledged = 0;  // instances, this one included
  size_t listed = 0;        // instances
  bool stored = false;
  std::vector<std::string> missing_regions;

  // A majority knows: instances that cannot reach it refuse within the
  // freshness limit.
  bool in_force() const { return acknowledged * 2 > listed; }
};

// Withdraws keys: spreads them to all instances at once and to the store when
// it can be reached.
class Withdrawals {
 public:
  static constexpr std::string_view kServiceName = "withdrawals";

  virtual ~Withdrawals() = default;

  virtual void Withdraw(const Withdrawal& withdrawal) = 0;
  virtual WithdrawalStatus StatusOf(const std::string& key_id) const = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_WITHDRAWALS_H_
