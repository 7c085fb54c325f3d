#ifndef REDWING_BUDGET_BUDGET_MODULE_H_
#define REDWING_BUDGET_BUDGET_MODULE_H_

#include <memory>
#include <string>

#include "budget/budget_options.h"
#include "framework/kernel/module.h"

namespace redwing {

class ShareBudgets;
class ShareLedger;

// Module that enforces rate and burst limits counted over all instances of the
// fleet or of a region.
class BudgetModule : public Module {
 public:
  BudgetModule(std::string strategy, BudgetOptions options)
      : strategy_(std::move(strategy)), options_(options) {}
  ~BudgetModule() override;

  std::string_view Name() const override { return "budget"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void Stop() override;

 private:
  std::string strategy_;
  BudgetOptions options_;
  std::shared_ptr<ShareLedger> ledger_;
  std::shared_ptr<ShareBudgets> budgets_;
};

}  // namespace redwing

#endif  // REDWING_BUDGET_BUDGET_MODULE_H_
