#include "delivery/delivery_module.h"

#include "budget/budgets.h"
#include "config/freshness.h"
#include "config/steering_config.h"
#include "delivery/internal/request_carrier.h"
#include "framework/http/graceful_stop.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "keys/key_ring.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/entry_lookup.h"
#include "routing/placement.h"
#include "routing/target_router.h"
#include "store/object_store.h"

namespace redwing {

DeliveryModule::~DeliveryModule() = default;

void DeliveryModule::RegisterServices(Kernel& kernel) {
  // The carrier's constructor needs services of modules that are registered
  // before this one.
  CarrierServices services;
  services.identity = kernel.Find<Identity>();
  services.config = kernel.Find<SteeringConfig>();
  services.keys = kernel.Find<KeyRing>();
  services.freshness = kernel.Find<Freshness>();
  services.budgets = kernel.Find<Budgets>();
  services.membership = kernel.Find<Membership>();
  services.router = kernel.Find<TargetRouter>();
  services.store = kernel.Find<ObjectStore>();
  if (options_.led_targets) {
    services.placement = kernel.Find<Placement>();
  }
  carrier_ = std::make_shared<RequestCarrier>(
      kernel.io(), *kernel.Find<SocketRegistry>(), *kernel.Find<Metrics>(),
      std::move(services), secrets_, options_);
  kernel.Register<RequestHandler>(carrier_);
}

void DeliveryModule::ResolveDependencies(Kernel& kernel) {
  const std::shared_ptr<RequestCarrier> carrier = carrier_;
  kernel.Find<EntryLookup>()->SetEpochSource(
      [carrier]() { return carrier->key_epoch(); });
  const std::shared_ptr<GracefulStop> stop = kernel.Find<GracefulStop>();
  carrier_->SetStopSource([stop]() { return stop->end_time(); });
}

void DeliveryModule::Start() {
  carrier_->Start();
}

void DeliveryModule::Stop() {
  carrier_->Stop();
}

}  // namespace redwing
