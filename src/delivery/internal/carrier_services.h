#ifndef REDWING_DELIVERY_INTERNAL_CARRIER_SERVICES_H_
#define REDWING_DELIVERY_INTERNAL_CARRIER_SERVICES_H_

#include <memory>

namespace redwing {

class Budgets;
class Freshness;
class KeyRing;
class Membership;
class ObjectStore;
class Placement;
class SteeringConfig;
class TargetRouter;
struct Identity;

// Services that a RequestCarrier uses.
struct CarrierServices {
  std::shared_ptr<Identity> identity;
  std::shared_ptr<SteeringConfig> config;
  std::shared_ptr<KeyRing> keys;
  std::shared_ptr<Freshness> freshness;
  std::shared_ptr<Budgets> budgets;
  std::shared_ptr<Membership> membership;
  std::shared_ptr<TargetRouter> router;
  std::shared_ptr<ObjectStore> store;
  // Null unless requests are sent through slot leaders.
  std::shared_ptr<Placement> placement;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_CARRIER_SERVICES_H_
