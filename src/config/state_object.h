#ifndef REDWING_CONFIG_STATE_OBJECT_H_
#define REDWING_CONFIG_STATE_OBJECT_H_

#include <optional>

#include "config/state_entry.h"
#include "store/stored_object.h"

namespace redwing {

// Reads a state entry from an object of kStateKind: {"revision", "body"}.
// Returns nothing for an object of another shape.
std::optional<StateEntry> DecodeStateEntry(const StoredObject& object);

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_OBJECT_H_
