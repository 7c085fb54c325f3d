#ifndef REDWING_CONFIG_WITHDRAWALS_H_
#define REDWING_CONFIG_WITHDRAWALS_H_

#include <string>
#include <string_view>
#include <vector>

#include "keys/withdrawal.h"

namespace redwing {

// Propagation status of the withdrawal of one API key.
struct WithdrawalStatus {
  // Number of instances that acknowledged the withdrawal, including this one.
  size_t acknowledged = 0;
  // Number of instances that the platform lists.
  size_t listed = 0;
  // Whether the withdrawal is known to be in the store.
  bool stored = false;
  // Regions with a listed instance that has not acknowledged the withdrawal.
  std::vector<std::string> missing_regions;

  // Returns whether a majority of the listed instances has acknowledged the
  // withdrawal. Instances that cannot reach this majority become stale and
  // reject requests within the freshness limit.
  bool in_force() const { return acknowledged * 2 > listed; }
};

// Withdraws API keys. Sends each withdrawal to all instances immediately, and
// writes it to the store when the store is reachable.
class Withdrawals {
 public:
  static constexpr std::string_view kServiceName = "withdrawals";

  virtual ~Withdrawals() = default;

  // Withdraws a key on this instance and starts to send the withdrawal to
  // peers.
  virtual void Withdraw(const Withdrawal& withdrawal) = 0;
  // Returns the propagation status of the withdrawal of a key.
  virtual WithdrawalStatus StatusOf(const std::string& key_id) const = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_WITHDRAWALS_H_
