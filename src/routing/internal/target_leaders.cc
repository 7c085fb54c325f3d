#include "routing/internal/target_leaders.h"

#include <algorithm>

#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "steering/target.h"

namespace redwing {

namespace {

uint64_t Score(const std::string& instance, const Target& target) {
  return Hash64(instance + "/" + target.name);
}

}  // namespace

TargetLeaders::TargetLeaders(std::shared_ptr<Identity> identity,
                             std::shared_ptr<Membership> membership)
    : identity_(std::move(identity)), membership_(std::move(membership)) {
  membership_->on_change().Subscribe(
      [this](const Member& /*member*/) { leaders_.clear(); });
}

const std::string& TargetLeaders::LeaderOf(const Target& target) {
  const auto known = leaders_.find(target.name);
  if (known != leaders_.end()) {
    return known->second;
  }
  return leaders_.emplace(target.name, Elect(target)).first->second;
}

bool TargetLeaders::IsOwn(const Target& target) {
  return LeaderOf(target) == identity_->name;
}

std::string TargetLeaders::Elect(const Target& target) const {
  const std::string near = ElectFrom(target, target.failure_domain);
  return near.empty() ? ElectFrom(target, "") : near;
}

std::string TargetLeaders::ElectFrom(const Target& target,
                                     const std::string& failure_domain) const {
  std::string best;
  uint64_t best_score = 0;
  const auto consider = [&](const std::string& name,
                            const std::string& domain) {
    const uint64_t score = Score(name, target);
    const bool allowed = failure_domain.empty() || domain == failure_domain;
    if (allowed && (best.empty() || score > best_score)) {
      best = name;
      best_score = score;
    }
  };
  for (const auto& [name, member] : membership_->members()) {
    if (member.usable() && member.region == target.region) {
      consider(name, member.failure_domain);
    }
  }
  if (target.region == identity_->region && !membership_->leaving()) {
    consider(identity_->name, identity_->failure_domain);
  }
  return best;
}

}  // namespace redwing
