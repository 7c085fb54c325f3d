#ifndef REDWING_BUDGET_INTERNAL_LEASE_TERM_H_
#define REDWING_BUDGET_INTERNAL_LEASE_TERM_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Returns the expiry, at the granting instance, of a lease or token grant that
// is granted now. The other instance measures `duration` from the time at which
// it sent its request; the margin covers clocks that run at different speeds.
inline TimePoint LenderExpiry(TimePoint now, Milliseconds duration) {
  constexpr double kMargin = 1.02;
  constexpr Milliseconds kExtra{5};
  return now + std::chrono::duration_cast<Clock::duration>(duration * kMargin) +
         kExtra;
}

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_LEASE_TERM_H_
