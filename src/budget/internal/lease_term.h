#ifndef REDWING_BUDGET_INTERNAL_LEASE_TERM_H_
#define REDWING_BUDGET_INTERNAL_LEASE_TERM_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Returns when a lease or draw that is granted now ends for the instance that
// grants it. The other one counts `duration` from the sending of its request;
// the margin covers clocks that differ in speed.
inline TimePoint LenderExpiry(TimePoint now, Milliseconds duration) {
  constexpr double kMargin = 1.02;
  constexpr Milliseconds kExtra{5};
  return now + std::chrono::duration_cast<Clock::duration>(duration * kMargin) +
         kExtra;
}

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_LEASE_TERM_H_
