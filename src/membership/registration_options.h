#ifndef REDWING_MEMBERSHIP_REGISTRATION_OPTIONS_H_
#define REDWING_MEMBERSHIP_REGISTRATION_OPTIONS_H_

#include "framework/kernel/clock.h"

namespace redwing {

// Options of the registration of instances in the store, used if the platform
// does not list them.
struct RegistrationOptions {
  // An instance without a heartbeat for this time is removed from the list. It
  // is longer than any pause after which an instance would continue.
  Milliseconds removal_timeout{10'000};
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_REGISTRATION_OPTIONS_H_
