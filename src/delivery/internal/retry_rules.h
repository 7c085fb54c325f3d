#ifndef REDWING_DELIVERY_INTERNAL_RETRY_RULES_H_
#define REDWING_DELIVERY_INTERNAL_RETRY_RULES_H_

#include "framework/errors/errc.h"

namespace redwing {

// Returns whether a failure means that nothing was sent to a target, so that
// sending the request to another one is not a retry.
bool IsRefusedBeforeSending(Errc errc);

// Returns whether another candidate may succeed after the failure of a request
// that was sent.
bool IsWorthRetry(Errc errc);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_RETRY_RULES_H_
