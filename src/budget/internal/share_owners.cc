#include "budget/internal/share_owners.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "budget/internal/share_holders.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"

namespace redwing {

namespace {

// Number of share owners in the failure domain, then the inverted rendezvous
// score. The lowest rank is the next candidate.
using Rank = std::pair<size_t, uint64_t>;

Rank RankOf(const std::map<std::string, size_t>& owners_by_domain,
            const std::string& domain,
            const std::string& name) {
  const auto owners = owners_by_domain.find(domain);
  return {owners == owners_by_domain.end() ? 0 : owners->second,
          ~Hash64("shares/" + name)};
}

bool IsPresent(const Member& member) {
  return (member.listed || member.usable()) &&
         member.state != MemberState::kLeaving;
}

}  // namespace

bool ShouldOwnShare(const ShareHolders& published,
                    const Identity& own,
                    const Membership::MemberMap& members) {
  if (published.by_instance.count(own.name) > 0) {
    return true;
  }
  std::map<std::string, size_t> owners_by_domain;
  size_t owners = 0;
  for (const auto& [name, holder] : published.by_instance) {
    if (holder.region != own.region || holder.revoked) {
      continue;
    }
    ++owners;
    const auto member = members.find(name);
    if (member != members.end()) {
      ++owners_by_domain[member->second.failure_domain];
    }
  }
  if (owners >= kOwnersPerRegion) {
    return false;
  }
  const Rank rank = RankOf(owners_by_domain, own.failure_domain, own.name);
  return std::none_of(members.begin(), members.end(),
                      [&](const Membership::MemberMap::value_type& item) {
                        const Member& member = item.second;
                        return member.usable() && member.region == own.region &&
                               published.by_instance.count(item.first) == 0 &&
                               RankOf(owners_by_domain, member.failure_domain,
                                      item.first) < rank;
                      });
}

size_t OwnerCount(BudgetScope scope,
                  const Identity& own,
                  const Membership::MemberMap& members) {
  std::map<std::string, size_t> instances = {{own.region, 1}};
  for (const auto& [name, member] : members) {
    if (IsPresent(member)) {
      ++instances[member.region];
    }
  }
  size_t count = 0;
  for (const auto& [region, size] : instances) {
    if (scope == BudgetScope::kFleet || region == own.region) {
      count += std::min(size, kOwnersPerRegion);
    }
  }
  return count;
}

}  // namespace redwing
