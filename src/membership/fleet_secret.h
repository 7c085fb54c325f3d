#ifndef REDWING_MEMBERSHIP_FLEET_SECRET_H_
#define REDWING_MEMBERSHIP_FLEET_SECRET_H_

#include <string>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

class ObjectStore;

// Returns the secret with which instances sign their messages to each other,
// for instances whose settings name none. The secret is kept in the store; the
// first instance that requests it creates it. Fails with kStoreUnavailable.
Result<std::string> AcquireFleetSecret(ObjectStore& store, const Yield& yield);

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_FLEET_SECRET_H_
