#include "config/internal/watcher_election.h"

#include <fmt/format.h>

#include <algorithm>

#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "membership/membership.h"

namespace redwing {

namespace {

uint64_t RendezvousScore(std::string_view region, std::string_view instance) {
  return Hash64(fmt::format("{}/{}", region, instance));
}

// Returns the number of usable members of the region with a higher rendezvous
// score than this instance.
size_t RankOf(const Identity& identity, const Membership& membership) {
  const uint64_t own = RendezvousScore(identity.region, identity.name);
  const std::ptrdiff_t before = std::count_if(
      membership.members().begin(), membership.members().end(),
      [&identity, own](const Membership::MemberMap::value_type& item) {
        const Member& member = item.second;
        return member.usable() && member.region == identity.region &&
               RendezvousScore(member.region, member.name) > own;
      });
  return static_cast<size_t>(before);
}

}  // namespace

bool IsWatcher(const Identity& identity, const Membership& membership) {
  return RankOf(identity, membership) < kWatchersPerRegion;
}

bool IsFirstWatcher(const Identity& identity, const Membership& membership) {
  return RankOf(identity, membership) == 0;
}

}  // namespace redwing
