#include "routing/internal/target_rate_share.h"

#include <algorithm>
#include <utility>

#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"
#include "routing/internal/target_leaders.h"
#include "steering/target.h"

namespace redwing {

namespace {
// Upper bound on the instances of a region that send requests to a target with
// a bounded rate.
constexpr size_t kMaxSenders = 4;

uint64_t SenderScore(const std::string& instance, const Target& target) {
  return Hash64(instance + "/" + target.name);
}
}  // namespace

TargetRateShare::TargetRateShare(std::shared_ptr<Identity> identity,
                                 std::shared_ptr<Membership> membership,
                                 std::shared_ptr<TargetLeaders> leaders)
    : identity_(std::move(identity)),
      membership_(std::move(membership)),
      leaders_(std::move(leaders)) {}

double TargetRateShare::FractionFor(const Target& target) const {
  if (leaders_ && !leaders_->IsOwn(target)) {
    return 0;
  }
  // Counts listed instances as well as usable ones: instances that are not
  // connected to each other must not both take the whole rate.
  const uint64_t own = SenderScore(identity_->name, target);
  size_t before = 0;
  size_t senders = 1;
  size_t usable = 1;
  for (const auto& [name, member] : membership_->members()) {
    if (member.region != identity_->region ||
        !(member.listed || member.usable())) {
      continue;
    }
    ++senders;
    usable += member.usable() ? 1 : 0;
    before += SenderScore(name, target) > own ? 1 : 0;
  }
  if (leaders_) {
    // Only the slot leader sends. While some listed instances are unreachable,
    // they may have elected another leader, so that only a fraction is safe.
    return static_cast<double>(usable) / static_cast<double>(senders);
  }
  const size_t parts = std::min(senders, kMaxSenders);
  return before < parts ? 1.0 / static_cast<double>(parts) : 0;
}

}  // namespace redwing
