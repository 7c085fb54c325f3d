#include "delivery/internal/wait_policy.h"

#include <algorithm>

namespace redwing {

namespace {
// Fraction of the target latency for which a late request may wait: enough to
// use slots that become free, too little to delay requests that can still be in
// time.
constexpr double kLateWaitFraction = 0.25;
// Largest fraction of the caller's remaining time that it should wait: after a
// longer wait, too little is left for the second attempt.
constexpr double kMaxWaitFraction = 1.0 / 3;
constexpr double kMillisPerSecond = 1000;
constexpr Milliseconds kMinRetryAfter{20};
// Longest spread of the retries of callers whose targets all accept requests
// again at once; the spread is shorter if the backoff was.
constexpr Milliseconds kMaxSpread{2'000};
}  // namespace

Milliseconds AllowedWait(const WaitRequest& request) {
  const Milliseconds until_given_up = request.left - request.run;
  const Milliseconds until_late =
      request.target_latency - request.age - request.run;
  const Milliseconds late_wait = std::chrono::duration_cast<Milliseconds>(
      kLateWaitFraction * request.target_latency);
  return std::max(Milliseconds(0),
                  std::min(until_given_up, std::max(until_late, late_wait)));
}

bool IsLate(const WaitRequest& request) {
  return request.target_latency > Milliseconds(0) &&
         request.age + request.run > request.target_latency;
}

Milliseconds RetryAfter(Milliseconds wait,
                        Clock::duration left,
                        double random_value) {
  const double latest = kMaxWaitFraction * ToSeconds(left);
  const double seconds = std::min(latest, ToSeconds(wait) * (1 + random_value));
  return std::max(
      kMinRetryAfter,
      Milliseconds(static_cast<int64_t>(seconds * kMillisPerSecond)));
}

Milliseconds SpreadRetryAfter(Milliseconds earliest, double random_value) {
  const double spread = std::min(ToSeconds(earliest), ToSeconds(kMaxSpread));
  return earliest + Milliseconds(static_cast<int64_t>(random_value * spread *
                                                      kMillisPerSecond));
}

}  // namespace redwing
