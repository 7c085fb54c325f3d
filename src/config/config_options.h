#ifndef REDWING_CONFIG_CONFIG_OPTIONS_H_
#define REDWING_CONFIG_CONFIG_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// What an instance does that cannot vouch for knowing every change.
enum class FreshnessPolicy {
  // Past the freshness limit it refuses requests with a key.
  kRefuseStale,
  // It goes on with what it knows.
  kServeOn,
};

// Where the replicated state is kept.
enum class StateOrigin {
  // In objects of this system's own kind.
  kStateObjects,
  // In objects of the platform, read through a StateSource.
  kStateSource,
};

struct ConfigOptions {
  Milliseconds freshness_limit{5'000};
  FreshnessPolicy freshness_policy = FreshnessPolicy::kRefuseStale;
  StateOrigin origin = StateOrigin::kStateObjects;
  // How often a watcher reads the list of targets. Only for kStateSource.
  Milliseconds listing_interval{700};
  // How long one wait for a change lasts at the first watcher of a region. A
  // connection that has fallen silent hides changes for as long. Only for
  // kStateSource.
  Milliseconds first_change_wait{2'000};
  // The same at the other watchers. Each wait is a call that is paid for.
  Milliseconds change_wait{10'000};
};

}  // namespace redwing

#endif  // REDWING_CONFIG_CONFIG_OPTIONS_H_
