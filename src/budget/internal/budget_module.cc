#include "budget/budget_module.h"

#include "budget/internal/lending_policy.h"
#include "budget/internal/share_budgets.h"
#include "budget/internal/share_ledger.h"
#include "config/freshness.h"
#include "config/replicated_state.h"
#include "config/steering_config.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/peer/peer_transport.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "store/object_store.h"

namespace redwing {

BudgetModule::~BudgetModule() = default;

void BudgetModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<Identity> identity = kernel.Find<Identity>();
  ledger_ = std::make_shared<ShareLedger>(kernel.io(), identity,
                                          options_.inherited_share_delay);
  budgets_ = std::make_shared<ShareBudgets>(
      kernel.io(), *kernel.Find<Metrics>(), identity,
      MakeLendingPolicy(strategy_), options_);
  kernel.Register<Budgets>(budgets_);
}

void BudgetModule::ResolveDependencies(Kernel& kernel) {
  const std::shared_ptr<Membership> membership = kernel.Find<Membership>();
  const std::shared_ptr<SteeringConfig> config = kernel.Find<SteeringConfig>();
  ledger_->Attach(kernel.Find<ObjectStore>(), kernel.Find<ReplicatedState>(),
                  membership, config);
  budgets_->Attach(kernel.Find<PeerTransport>(), membership, config,
                   kernel.Find<Freshness>(), ledger_);
}

void BudgetModule::Start() {
  ledger_->Start();
  budgets_->Start();
}

void BudgetModule::Stop() {
  budgets_->Stop();
  ledger_->Stop();
}

}  // namespace redwing
