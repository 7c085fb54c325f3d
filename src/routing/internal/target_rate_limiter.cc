#include "routing/target_rate_limiter.h"

#include <algorithm>

namespace redwing {

void TargetRateLimiter::SetRate(double rate, double fraction, TimePoint now) {
  tokens_ = Tokens(now);
  updated_at_ = now;
  rate_ = rate * fraction;
}

void TargetRateLimiter::Spend(TimePoint now) {
  tokens_ = Tokens(now) - 1;
  updated_at_ = now;
}

double TargetRateLimiter::Tokens(TimePoint now) const {
  return std::min(kMaxTokens, tokens_ + rate_ * ToSeconds(now - updated_at_));
}

}  // namespace redwing
