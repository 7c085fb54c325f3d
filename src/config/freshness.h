#ifndef REDWING_CONFIG_FRESHNESS_H_
#define REDWING_CONFIG_FRESHNESS_H_

#include <string_view>

#include "framework/kernel/clock.h"

namespace redwing {

// Tells whether this instance can vouch for knowing every withdrawal that is
// in force.
class Freshness {
 public:
  static constexpr std::string_view kServiceName = "freshness";

  virtual ~Freshness() = default;

  // Returns whether, within the limit, the store was read or a majority of the
  // listed instances was found to hold the same state.
  virtual bool IsFresh(TimePoint now) const = 0;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_FRESHNESS_H_
