#ifndef REDWING_CONFIG_INTERNAL_ALWAYS_FRESH_H_
#define REDWING_CONFIG_INTERNAL_ALWAYS_FRESH_H_

#include "config/freshness.h"

namespace redwing {

// FreshnessPolicy::kServeOn.
class AlwaysFresh : public Freshness {
 public:
  bool IsFresh(TimePoint /*now*/) const override { return true; }
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_ALWAYS_FRESH_H_
