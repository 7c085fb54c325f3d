#ifndef REDWING_ROUTING_ROUTING_MODULE_H_
#define REDWING_ROUTING_ROUTING_MODULE_H_

#include <memory>
#include <string>

#include "framework/kernel/clock.h"
#include "framework/kernel/module.h"
#include "routing/target_router_options.h"

namespace redwing {

class LedPlacement;
class LocalTargetRouter;
class TargetLeaders;
class WeightedLookup;

// Module for the lookup of entry instances and for the choice of targets.
class RoutingModule : public Module {
 public:
  RoutingModule(std::string target_choice,
                Milliseconds lookup_ttl,
                TargetRouterOptions options)
      : target_choice_(std::move(target_choice)),
        lookup_ttl_(lookup_ttl),
        options_(options) {}
  ~RoutingModule() override;

  std::string_view Name() const override { return "routing"; }
  void RegisterServices(Kernel& kernel) override;
  void ResolveDependencies(Kernel& kernel) override;
  void Start() override;
  void Stop() override;

 private:
  std::string target_choice_;
  Milliseconds lookup_ttl_;
  TargetRouterOptions options_;
  std::shared_ptr<WeightedLookup> lookup_;
  std::shared_ptr<LocalTargetRouter> router_;
  // Null if several instances send requests to a target.
  std::shared_ptr<TargetLeaders> leaders_;
  std::shared_ptr<LedPlacement> placement_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_ROUTING_MODULE_H_
