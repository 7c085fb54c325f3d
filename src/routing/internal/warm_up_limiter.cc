#include "routing/warm_up_limiter.h"

#include <algorithm>

namespace redwing {

void WarmUpLimiter::SetRate(double rate, double fraction, TimePoint now) {
  tokens_ = Tokens(now);
  updated_at_ = now;
  rate_ = rate * fraction;
}

void WarmUpLimiter::Spend(TimePoint now) {
  tokens_ = Tokens(now) - 1;
  updated_at_ = now;
}

double WarmUpLimiter::Tokens(TimePoint now) const {
  return std::min(kMaxTokens, tokens_ + rate_ * ToSeconds(now - updated_at_));
}

}  // namespace redwing
