#include "routing/routing_module.h"

#include "config/steering_config.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/internal/led_placement.h"
#include "routing/internal/local_target_router.h"
#include "routing/internal/target_leaders.h"
#include "routing/internal/weighted_lookup.h"
#include "routing/target_choice.h"

namespace redwing {

RoutingModule::~RoutingModule() = default;

void RoutingModule::RegisterServices(Kernel& kernel) {
  const std::shared_ptr<Identity> identity = kernel.Find<Identity>();
  lookup_ =
      std::make_shared<WeightedLookup>(kernel.io(), identity, lookup_ttl_);
  router_ = std::make_shared<LocalTargetRouter>(
      kernel.io(), *kernel.Find<SocketRegistry>(), *kernel.Find<Metrics>(),
      identity, MakeTargetChoice(target_choice_), options_);
  if (options_.led_targets) {
    leaders_ =
        std::make_shared<TargetLeaders>(identity, kernel.Find<Membership>());
    placement_ = std::make_shared<LedPlacement>(
        identity, kernel.Find<Membership>(), kernel.Find<SteeringConfig>(),
        router_, leaders_, options_.max_shift);
    kernel.Register<Placement>(placement_);
  }
  kernel.Register<EntryLookup>(lookup_);
  kernel.Register<TargetRouter>(router_);
}

void RoutingModule::ResolveDependencies(Kernel& kernel) {
  const std::shared_ptr<Membership> membership = kernel.Find<Membership>();
  const std::shared_ptr<SteeringConfig> config = kernel.Find<SteeringConfig>();
  const std::shared_ptr<LocalTargetRouter> router = router_;
  lookup_->Attach(membership, config);
  lookup_->SetLoadSource([router]() { return router->LoadPermille(); });
  router_->Attach(membership, config, leaders_);
}

void RoutingModule::Start() {
  lookup_->Start();
  router_->Start();
}

void RoutingModule::Stop() {
  router_->Stop();
  lookup_->Stop();
}

}  // namespace redwing
