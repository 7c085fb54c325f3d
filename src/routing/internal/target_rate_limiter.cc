#include "routing/target_rate_limiter.h"

#include <algorithm>
#include <cmath>

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

Milliseconds TargetRateLimiter::WaitBehind(int ahead, TimePoint now) const {
  constexpr double kMillisPerSecond = 1000;
  const double missing = ahead + 1 - Tokens(now);
  if (missing <= 0) {
    return Milliseconds(0);
  }
  return rate_ > 0 ? Milliseconds(static_cast<int64_t>(
                         std::ceil(missing / rate_ * kMillisPerSecond)))
                   : kNoShareWait;
}

double TargetRateLimiter::Tokens(TimePoint now) const {
  return std::min(kMaxTokens, tokens_ + rate_ * ToSeconds(now - updated_at_));
}

}  // namespace redwing
