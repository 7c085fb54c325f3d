#ifndef REDWING_ROUTING_TARGET_RATE_LIMITER_H_
#define REDWING_ROUTING_TARGET_RATE_LIMITER_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Token bucket for this instance's fraction of a request rate that one target
// accepts from all instances together. It saves at most one token, so that in
// any period all instances together send at most the rate plus one request per
// instance.
class TargetRateLimiter {
 public:
  // Sets the rate. `rate` is in requests per second over the whole fleet;
  // `fraction` is this instance's fraction of it, from 0 to 1.
  void SetRate(double rate, double fraction, TimePoint now);

  bool CanSpend(TimePoint now) const { return Tokens(now) >= 1; }
  // Returns the time until one more token can be spent after `ahead` others;
  // kNoShareWait if this instance has no fraction of the rate.
  Milliseconds WaitBehind(int ahead, TimePoint now) const;
  void Spend(TimePoint now);

  // Time after which another instance has taken over the rate, or this one has.
  static constexpr Milliseconds kNoShareWait{1'000};

 private:
  static constexpr double kMaxTokens = 1;

  double Tokens(TimePoint now) const;

  double rate_ = 0;
  double tokens_ = 0;
  TimePoint updated_at_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_RATE_LIMITER_H_
