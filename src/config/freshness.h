#ifndef REDWING_CONFIG_FRESHNESS_H_
#define REDWING_CONFIG_FRESHNESS_H_

#include <string_view>

#include "framework/kernel/clock.h"

namespace redwing {

// Decides whether the replicated state of this instance is recent enough to
// serve requests from. Stale state may lack withdrawals that are in force.
class Freshness {
 public:
  static constexpr std::string_view kServiceName = "freshness";

  virtual ~Freshness() = default;

  // Returns true if requests with an API key may be served at time `now`. The
  // condition depends on the FreshnessPolicy.
  virtual bool IsFresh(TimePoint now) const = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_FRESHNESS_H_
