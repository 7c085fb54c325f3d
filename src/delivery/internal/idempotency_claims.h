#ifndef REDWING_DELIVERY_INTERNAL_IDEMPOTENCY_CLAIMS_H_
#define REDWING_DELIVERY_INTERNAL_IDEMPOTENCY_CLAIMS_H_

#include <memory>
#include <string>

#include "framework/errors/result.h"
#include "framework/http/http_types.h"

namespace redwing {

class ObjectStore;
struct Identity;

// Claims on idempotency keys that are not bound to a process, kept in the store
// as objects that are created only if absent.
class IdempotencyClaims {
 public:
  IdempotencyClaims(std::shared_ptr<ObjectStore> store,
                    std::shared_ptr<Identity> identity);

  // Claims a key for this process and returns the id of the process that holds
  // the claim: this one, or another that claimed it first. Reads the claim back
  // if the write's reply was lost. Fails with kStoreUnavailable, kNotRun.
  Result<std::string> Claim(const std::string& key, const Yield& yield);

 private:
  std::shared_ptr<ObjectStore> store_;
  std::shared_ptr<Identity> identity_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_IDEMPOTENCY_CLAIMS_H_
