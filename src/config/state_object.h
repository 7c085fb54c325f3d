#ifndef REDWING_CONFIG_STATE_OBJECT_H_
#define REDWING_CONFIG_STATE_OBJECT_H_

#include <optional>

#include "config/state_entry.h"
#include "store/stored_object.h"

namespace redwing {

// Decodes a state entry from the fields "revision" and "body" of an object of
// kStateKind. Returns std::nullopt if a field is missing or the revision is not
// an unsigned number.
std::optional<StateEntry> DecodeStateEntry(const StoredObject& object);

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_OBJECT_H_
