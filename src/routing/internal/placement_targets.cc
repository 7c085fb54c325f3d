#include "routing/internal/placement_targets.h"

#include "config/steering_config.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/candidate_choice.h"
#include "routing/internal/local_target_router.h"
#include "steering/steering_document.h"

namespace redwing {

PlacementTargets::PlacementTargets(
    const std::shared_ptr<Identity>& identity,
    const std::shared_ptr<Membership>& membership,
    std::shared_ptr<SteeringConfig> config,
    std::shared_ptr<LocalTargetRouter> router,
    std::shared_ptr<TargetLeaders> leaders)
    : identity_(identity),
      config_(std::move(config)),
      router_(std::move(router)),
      leaders_(std::move(leaders)),
      region_numbers_({{identity->region, kNearRegion}}) {
  config_->on_change().Subscribe([this]() { lists_.clear(); });
  membership->on_change().Subscribe(
      [this](const Member& /*member*/) { lists_.clear(); });
  router_->on_change().Subscribe([this]() { lists_.clear(); });
}

const std::vector<PlacementTarget>* PlacementTargets::Of(
    const std::string& service) {
  if (document_ != config_->document()) {
    document_ = config_->document();
    lists_.clear();
  }
  const auto known = lists_.find(service);
  if (known != lists_.end()) {
    return &known->second;
  }
  const Service* const found = document_->FindService(service);
  if (found == nullptr) {
    return nullptr;
  }
  return &lists_.emplace(service, List(found->targets)).first->second;
}

std::vector<PlacementTarget> PlacementTargets::List(
    const std::vector<Target>& targets) {
  std::vector<PlacementTarget> list;
  for (const Target& target : targets) {
    const size_t region =
        region_numbers_.emplace(target.region, region_numbers_.size())
            .first->second;
    const std::string& leader = leaders_->LeaderOf(target);
    if (leader.empty() || router_->IsClosed(target)) {
      continue;
    }
    const bool led_here = leader == identity_->name;
    list.push_back({&target, Hash64(target.name), region, leader,
                    led_here ? router_->FindTarget(target) : nullptr});
  }
  return list;
}

}  // namespace redwing
