#include "membership/fleet_secret.h"

#include "framework/wire/digest.h"
#include "store/object_store.h"

namespace redwing {

namespace {

constexpr std::string_view kSecretKind = "redwingsecrets";
constexpr std::string_view kSecretName = "fleet";
constexpr size_t kSecretBytes = 32;

Result<std::string> ReadSecret(const StoredObject& object) {
  const nlohmann::json& spec = object.spec;
  if (!spec.is_object() || !spec.contains("secret") ||
      !spec.at("secret").is_string()) {
    return NotRun(Errc::kStoreUnavailable,
                  "the fleet's secret in the store is malformed");
  }
  return spec.at("secret").get<std::string>();
}

}  // namespace

Result<std::string> AcquireFleetSecret(ObjectStore& store, const Yield& yield) {
  const Result<StoredObject> stored =
      store.Get(std::string(kSecretKind), std::string(kSecretName), yield);
  if (stored) {
    return ReadSecret(stored.value());
  }
  if (stored.error().errc != Errc::kNotFound) {
    return stored.error();
  }
  StoredObject object;
  object.kind = kSecretKind;
  object.name = kSecretName;
  object.spec = {{"secret", RandomHex(kSecretBytes)}};
  const Result<StoredObject> created = store.Create(object, yield);
  if (created) {
    return ReadSecret(created.value());
  }
  // Another instance was first, or the response was lost: read the secret back.
  const Result<StoredObject> other =
      store.Get(std::string(kSecretKind), std::string(kSecretName), yield);
  if (!other) {
    return other.error();
  }
  return ReadSecret(other.value());
}

}  // namespace redwing
