#include "membership/fleet_secret.h"

#include "framework/wire/digest.h"
#include "store/object_store.h"

namespace redwing {

namespace {

constexpr std::string_view kSecretKind = "redwingsecrets";
constexpr std::string_view kSecretName = "fleet";
constexpr size_t kSecretBytes = 32;

Result<std::string> SecretOf(const StoredObject& object) {
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
  const Result<StoredObject> held =
      store.Get(std::string(kSecretKind), std::string(kSecretName), yield);
  if (held) {
    return SecretOf(held.value());
  }
  if (held.error().errc != Errc::kNotFound) {
    return held.error();
  }
  StoredObject object;
  object.kind = kSecretKind;
  object.name = kSecretName;
  object.spec = {{"secret", RandomHex(kSecretBytes)}};
  const Result<StoredObject> created = store.Create(object, yield);
  if (created) {
    return SecretOf(created.value());
  }
  // Another instance was first, or the answer was lost: read it back.
  const Result<StoredObject> other =
      store.Get(std::string(kSecretKind), std::string(kSecretName), yield);
  if (!other) {
    return other.error();
  }
  return SecretOf(other.value());
}

}  // namespace redwing
