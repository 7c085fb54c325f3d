#include "delivery/internal/wait_policy.h"

#include <algorithm>

namespace redwing {

namespace {
// Part of the target latency for which a late request may wait: enough to fill
// slots that fall free, too little to stand before those in time.
constexpr double kLateWaitPart = 0.25;
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

}  // namespace redwing
