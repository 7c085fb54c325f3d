#ifndef REDWING_CONFIG_INTERNAL_MAJORITY_FRESHNESS_H_
#define REDWING_CONFIG_INTERNAL_MAJORITY_FRESHNESS_H_

#include <memory>

#include "config/freshness.h"

namespace redwing {

class Membership;
class StateFeed;

// Freshness from the store's readings and the peers' digests.
class MajorityFreshness : public Freshness {
 public:
  MajorityFreshness(std::shared_ptr<StateFeed> feed, Milliseconds limit);

  void Attach(std::shared_ptr<Membership> membership);

  bool IsFresh(TimePoint now) const override;

 private:
  std::shared_ptr<StateFeed> feed_;
  std::shared_ptr<Membership> membership_;
  Milliseconds limit_;
  // Counting members on each request would cost in proportion to the fleet.
  mutable TimePoint fresh_until_;
  mutable TimePoint checked_at_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_MAJORITY_FRESHNESS_H_
