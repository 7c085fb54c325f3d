#include "delivery/internal/wait_policy.h"

#include <algorithm>

namespace redwing {

namespace {
// Part of the target latency for which a late request may wait: enough to fill
// slots that fall free, too little to stand before those in time.
constexpr double kLateWaitPart = 0.25;
// A caller that waits for longer than this part of its time has too little left
// for the second try.
constexpr double kUsefulPart = 1.0 / 3;
constexpr double kMillisPerSecond = 1000;
constexpr Milliseconds kLeastRetryAfter{20};
// Callers whose targets all take requests again at once return over this time,
// or over as long as the targets took none where that is shorter.
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
