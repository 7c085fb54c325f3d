#ifndef REDWING_MEMBERSHIP_REGISTRATION_OPTIONS_H_
#define REDWING_MEMBERSHIP_REGISTRATION_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// How instances keep the list of themselves where the platform has none.
struct RegistrationOptions {
  // An instance that is silent for this long is taken from the list. Longer
  // than any pause after which it would go on.
  Milliseconds removal_timeout{10'000};
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_REGISTRATION_OPTIONS_H_
