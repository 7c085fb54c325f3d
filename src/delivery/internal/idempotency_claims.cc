#include "delivery/internal/idempotency_claims.h"

#include "framework/kernel/clock.h"
#include "framework/wire/digest.h"
#include "membership/identity.h"
#include "store/object_store.h"

namespace redwing {

namespace {
constexpr std::string_view kClaimKind = "redwingclaims";
constexpr std::string_view kClaimDomain = "redwing-idempotency-claim";
constexpr Milliseconds kRetryAfter{2000};
}  // namespace

IdempotencyClaims::IdempotencyClaims(std::shared_ptr<ObjectStore> store,
                                     std::shared_ptr<Identity> identity)
    : store_(std::move(store)), identity_(std::move(identity)) {}

Result<std::string> IdempotencyClaims::Claim(const std::string& key,
                                             const Yield& yield) {
  StoredObject claim;
  claim.kind = kClaimKind;
  claim.name = ToHex(KeyedDigest(kClaimDomain, key));
  claim.spec = {{"process", identity_->process_id}};
  const Result<StoredObject> created = store_->Create(claim, yield);
  if (created) {
    return identity_->process_id;
  }
  // Either another process claimed the key first, or this process's write took
  // effect and its reply was lost: the stored object tells which.
  const Result<StoredObject> held = store_->Get(claim.kind, claim.name, yield);
  if (held) {
    return held.value().spec.value("process", "");
  }
  return NotRun(Errc::kStoreUnavailable,
                "the store of idempotency keys without a prefix is "
                "unavailable; use a key with a prefix from a lookup",
                kRetryAfter);
}

}  // namespace redwing
