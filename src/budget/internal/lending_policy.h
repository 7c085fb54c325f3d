#ifndef REDWING_BUDGET_INTERNAL_LENDING_POLICY_H_
#define REDWING_BUDGET_INTERNAL_LENDING_POLICY_H_

#include <memory>
#include <string_view>

namespace redwing {

struct BudgetAccount;

// Decides how shares are lent and borrowed according to demand.
class LendingPolicy {
 public:
  virtual ~LendingPolicy() = default;

  // Returns the share that this instance should borrow, 0 if none.
  virtual double ShareToBorrow(const BudgetAccount& account) const = 0;
  // Returns the share that this instance can lend, at most `wanted`; 0 if none.
  virtual double ShareToLend(const BudgetAccount& account,
                             double wanted) const = 0;
  // Returns whether this instance, as lender, extends a lease.
  virtual bool ExtendLease(const BudgetAccount& account) const = 0;
};

// Creates the policy with the given name: "leased_shares" lends idle shares,
// "fixed_shares" never lends. Returns nullptr for any other name.
std::unique_ptr<LendingPolicy> MakeLendingPolicy(std::string_view name);

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_LENDING_POLICY_H_
