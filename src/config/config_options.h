#ifndef REDWING_CONFIG_CONFIG_OPTIONS_H_
#define REDWING_CONFIG_CONFIG_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Behaviour of an instance whose replicated state may be stale.
enum class FreshnessPolicy {
  // Requests with an API key are rejected once the freshness limit is exceeded.
  kRefuseStale,
  // Requests are served from the last known state.
  kServeStale,
};

// Place where the replicated state is stored.
enum class StateOrigin {
  // Objects of kStateKind, which only this system uses.
  kStateObjects,
  // Objects of the platform, read through a StateSource.
  kStateSource,
};

struct ConfigOptions {
  // Time since the state was last confirmed after which it counts as stale.
  // Only for FreshnessPolicy::kRefuseStale.
  Milliseconds freshness_limit{5'000};
  FreshnessPolicy freshness_policy = FreshnessPolicy::kRefuseStale;
  StateOrigin origin = StateOrigin::kStateObjects;
  // Interval at which a watcher reads the platform's list of instances. Only
  // for kStateSource.
  Milliseconds listing_interval{700};
  // Timeout of one wait for a change at the first watcher of a region. A
  // connection that no longer delivers data hides changes for up to this long.
  // Only for kStateSource.
  Milliseconds first_change_wait{2'000};
  // Timeout of one wait for a change at the other watchers. It is longer
  // because each wait is a call that is paid for. Only for kStateSource.
  Milliseconds change_wait{10'000};
};

}  // namespace redwing

#endif  // REDWING_CONFIG_CONFIG_OPTIONS_H_
