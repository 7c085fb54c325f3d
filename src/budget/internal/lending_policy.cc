#include "budget/internal/lending_policy.h"

#include <algorithm>

#include "budget/internal/budget_account.h"

namespace redwing {

namespace {

class FixedShares : public LendingPolicy {
 public:
  double ShareToBorrow(const BudgetAccount& /*account*/) const override {
    return 0;
  }
  double ShareToLend(const BudgetAccount& /*account*/,
                     double /*wanted*/) const override {
    return 0;
  }
  bool ExtendLease(const BudgetAccount& /*account*/) const override {
    return false;
  }
};

class LeasedShares : public LendingPolicy {
 public:
  double ShareToBorrow(const BudgetAccount& account) const override {
    if (account.HasReserve()) {
      return 0;
    }
    const double missing =
        account.NeededShare() - account.bucket.EffectiveShare();
    return missing > kSmallestShare ? missing : 0;
  }

  double ShareToLend(const BudgetAccount& account,
                     double wanted) const override {
    const double spare =
        std::min(account.bucket.FreeShare(),
                 account.bucket.EffectiveShare() - account.NeededShare());
    const double lent = std::min(spare, wanted);
    return lent > kSmallestShare ? lent : 0;
  }

  bool ExtendLease(const BudgetAccount& account) const override {
    return account.bucket.EffectiveShare() >= account.NeededShare();
  }

 private:
  static constexpr double kSmallestShare = 1e-4;
};

}  // namespace

std::unique_ptr<LendingPolicy> MakeLendingPolicy(std::string_view name) {
  if (name == "leased_shares") {
    return std::make_unique<LeasedShares>();
  }
  if (name == "fixed_shares") {
    return std::make_unique<FixedShares>();
  }
  return nullptr;
}

}  // namespace redwing
