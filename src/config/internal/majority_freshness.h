#ifndef REDWING_CONFIG_INTERNAL_MAJORITY_FRESHNESS_H_
#define REDWING_CONFIG_INTERNAL_MAJORITY_FRESHNESS_H_

#include <memory>

#include "config/freshness.h"

namespace redwing {

class Membership;
class StateFeed;

// Implements FreshnessPolicy::kRefuseStale: the state is fresh if, within the
// limit, the store was read or a majority of the listed instances was in sync
// with this instance.
class MajorityFreshness : public Freshness {
 public:
  MajorityFreshness(std::shared_ptr<StateFeed> feed, Milliseconds limit);

  void Attach(std::shared_ptr<Membership> membership);

  bool IsFresh(TimePoint now) const override;

 private:
  std::shared_ptr<StateFeed> feed_;
  std::shared_ptr<Membership> membership_;
  Milliseconds limit_;
  // Result of the last check. Cached, because checking all members on each
  // request would cost time proportional to the number of instances.
  mutable TimePoint fresh_until_;
  // Time of the last check.
  mutable TimePoint checked_at_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_MAJORITY_FRESHNESS_H_
