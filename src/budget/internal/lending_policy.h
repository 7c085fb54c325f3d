#ifndef REDWING_BUDGET_INTERNAL_LENDING_POLICY_H_
#define REDWING_BUDGET_INTERNAL_LENDING_POLICY_H_

#include <memory>
#include <string_view>

namespace redwing {

struct BudgetAccount;

// Decides how shares follow the demand.
class LendingPolicy {
 public:
  virtual ~LendingPolicy() = default;

  // Returns the share that an instance should borrow now, 0 for none.
  virtual double ShareToBorrow(const BudgetAccount& account) const = 0;
  // Returns the share that an instance can lend now, at most `wanted`.
  virtual double ShareToLend(const BudgetAccount& account,
                             double wanted) const = 0;
  // Returns whether a lender extends a lease.
  virtual bool ExtendLease(const BudgetAccount& account) const = 0;
};

// Makes the policy with the given name: "leased_shares" lends idle shares,
// "fixed_shares" never lends. Returns null for another name.
std::unique_ptr<LendingPolicy> MakeLendingPolicy(std::string_view name);

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_LENDING_POLICY_H_
