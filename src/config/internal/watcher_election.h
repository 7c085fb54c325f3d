#ifndef REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_
#define REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_

#include <cstddef>

namespace redwing {

class Membership;
struct Identity;

// Instances of each region that read the store for the others.
inline constexpr size_t kWatchersPerRegion = 2;

// Returns whether this instance is among the first kWatchersPerRegion of its
// region by rendezvous order, as far as it hears of the others.
bool IsWatcher(const Identity& identity, const Membership& membership);

// Returns whether this instance is the first of them.
bool IsFirstWatcher(const Identity& identity, const Membership& membership);

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_WATCHER_ELECTION_H_
