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
size_t RankOf(const Identity& identity,
              const Membership& membership,
              uint32_t era) {
  const uint64_t own = RendezvousScore(identity.region, identity.name);
  const std::ptrdiff_t before = std::count_if(
      membership.members().begin(), membership.members().end(),
      [&identity, own, era](const Membership::MemberMap::value_type& item) {
        const Member& member = item.second;
        const bool reads =
            era <= StoreVersion::kFirstEra || member.store_era > 0;
        return member.usable() && reads && member.region == identity.region &&
               RendezvousScore(member.region, member.name) > own;
      });
  return static_cast<size_t>(before);
}

}  // namespace

bool IsWatcher(const Identity& identity,
               const Membership& membership,
               uint32_t era) {
  return RankOf(identity, membership, era) < kWatchersPerRegion;
}

bool IsFirstWatcher(const Identity& identity,
                    const Membership& membership,
                    uint32_t era) {
  return RankOf(identity, membership, era) == 0;
}

}  // namespace redwing
