#ifndef REDWING_ROUTING_WARM_UP_LIMITER_H_
#define REDWING_ROUTING_WARM_UP_LIMITER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// This instance's part of the request rate that one cold target bears. Saves
// at most one request, so that in any second all parts together stay below the
// rate plus one request a part.
class WarmUpLimiter {
 public:
  // `rate`: requests a second over the whole fleet; `part`: this instance's
  // part of it, 0 to 1.
  void SetRate(double rate, double part, TimePoint now);

  bool CanSpend(TimePoint now) const { return Tokens(now) >= 1; }
  void Spend(TimePoint now);

 private:
  static constexpr double kMaxTokens = 1;

  double Tokens(TimePoint now) const;

  double rate_ = 0;
  double tokens_ = 0;
  TimePoint updated_at_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_WARM_UP_LIMITER_H_
