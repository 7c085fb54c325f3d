#include "delivery/internal/wait_policy.h"

#include <algorithm>

namespace redwing {

namespace {
// Fraction of the target latency for which a late request may wait: enough to
// use slots that become free, too little to delay requests that can still be in
// time.
constexpr double kLateWaitPart = 0.25;
// Largest fraction of the caller's remaining time that it should wait: after a
// longer wait, too little is left for the second attempt.
constexpr double kUsefulPart = 1.0 / 3;
constexpr double kMillisPerSecond = 1000;
constexpr Milliseconds kLeastRetryAfter{20};
// Longest spread of the retries of callers whose targets all accept requests
// again at once; the spread is shorter if the backoff was.
constexpr Milliseconds kLongestSpread{2'000};
}  // namespace

Milliseconds AllowedWait(const WaitRequest& request) {
  const Milliseconds until_given_up = request.left - request.run;
  const Milliseconds until_late =
      request.target_latency - request.age - request.run;
  const Milliseconds late_wait = std::chrono::duration_cast<Milliseconds>(
      kLateWaitPart * request.target_latency);
  return std::max(Milliseconds(0),
                  std::min(until_given_up, std::max(until_late, late_wait)));
}

bool IsLate(const WaitRequest& request) {
  return request.target_latency > Milliseconds(0) &&
         request.age + request.run > request.target_latency;
}

Milliseconds RetryAfter(Milliseconds wait, Clock::duration left, double draw) {
  const double latest = kUsefulPart * ToSeconds(left);
  const double seconds = std::min(latest, ToSeconds(wait) * (1 + draw));
  return std::max(
      kLeastRetryAfter,
      Milliseconds(static_cast<int64_t>(seconds * kMillisPerSecond)));
}

Milliseconds SpreadReturn(Milliseconds earliest, double draw) {
  const double spread =
      std::min(ToSeconds(earliest), ToSeconds(kLongestSpread));
  return earliest +
         Milliseconds(static_cast<int64_t>(draw * spread * kMillisPerSecond));
}

}  // namespace redwing
