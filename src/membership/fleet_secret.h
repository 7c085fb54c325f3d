#ifndef REDWING_MEMBERSHIP_FLEET_SECRET_H_
#define REDWING_MEMBERSHIP_FLEET_SECRET_H_

#include <string>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

class ObjectStore;

// Returns the secret with which instances sign what they say to each other,
// where no settings name one: it is kept in the store, and the first instance
// that asks makes it. Fails with kStoreUnavailable.
Result<std::string> AcquireFleetSecret(ObjectStore& store, const Yield& yield);

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_FLEET_SECRET_H_
