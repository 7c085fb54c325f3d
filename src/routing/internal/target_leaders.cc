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
  membership_->on_change().Subscribe([this](const Member& member) {
    by_failure_domain_.erase(member.failure_domain);
    by_region_.erase(member.region);
  });
}

const std::string& TargetLeaders::LeaderOf(const Target& target) {
  const std::string& near = ElectFrom(
      by_failure_domain_[target.failure_domain], target,
      [&target](const std::string& region, const std::string& domain) {
        return region == target.region && domain == target.failure_domain;
      });
  if (!near.empty()) {
    return near;
  }
  return ElectFrom(
      by_region_[target.region], target,
      [&target](const std::string& region, const std::string& /*domain*/) {
        return region == target.region;
      });
}

bool TargetLeaders::IsOwn(const Target& target) {
  return LeaderOf(target) == identity_->name;
}

void TargetLeaders::SetMayLead(bool may_lead) {
  may_lead_ = may_lead;
  by_failure_domain_.clear();
  by_region_.clear();
}

template <typename Belongs>
const std::string& TargetLeaders::ElectFrom(Electorate& electorate,
                                            const Target& target,
                                            Belongs belongs) {
  if (!electorate.known) {
    electorate.known = true;
    for (const auto& [name, member] : membership_->members()) {
      if (member.may_lead() && belongs(member.region, member.failure_domain)) {
        electorate.entries.push_back(name);
      }
    }
    if (may_lead_ && !membership_->leaving() &&
        belongs(identity_->region, identity_->failure_domain)) {
      electorate.entries.push_back(identity_->name);
    }
  }
  const auto known = electorate.leaders.find(target.name);
  if (known != electorate.leaders.end()) {
    return known->second;
  }
  std::string best;
  uint64_t best_score = 0;
  for (const std::string& name : electorate.entries) {
    const uint64_t score = Score(name, target);
    if (best.empty() || score > best_score) {
      best = name;
      best_score = score;
    }
  }
  return electorate.leaders.emplace(target.name, std::move(best)).first->second;
}

}  // namespace redwing
