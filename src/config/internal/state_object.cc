#include "config/state_object.h"

namespace redwing {

std::optional<StateEntry> DecodeStateEntry(const StoredObject& object) {
  if (!object.spec.is_object() || !object.spec.contains("body") ||
      !object.spec.contains("revision") ||
      !object.spec.at("revision").is_number_unsigned()) {
    return std::nullopt;
  }
  return StateEntry{
      object.name,
      StoreVersion(object.era, object.spec.at("revision").get<uint64_t>()),
      object.spec.at("body").dump()};
}

}  // namespace redwing
