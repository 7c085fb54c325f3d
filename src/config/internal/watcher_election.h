#ifndef REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_
#define REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_

#include <cstddef>
#include <cstdint>

namespace redwing {

class Membership;
struct Identity;

// Number of instances per region that read the store for the others.
inline constexpr size_t kWatchersPerRegion = 2;

// Returns whether this instance is among the first kWatchersPerRegion usable
// members of its region by rendezvous hashing. Based on the local membership
// view, so instances may disagree for a while. `era`: era of the store; after a
// restore, only members that know eras count, since others ignore what they
// read.
bool IsWatcher(const Identity& identity,
               const Membership& membership,
               uint32_t era);

// Returns whether this instance is the first watcher of its region.
bool IsFirstWatcher(const Identity& identity,
                    const Membership& membership,
                    uint32_t era);

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_
