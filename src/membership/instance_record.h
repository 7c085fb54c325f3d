#ifndef REDWING_MEMBERSHIP_INSTANCE_RECORD_H_
#define REDWING_MEMBERSHIP_INSTANCE_RECORD_H_

#include <optional>
#include <string_view>

#include "store/instance_directory.h"
#include "store/stored_object.h"

namespace redwing {

struct Identity;

// Kind of the objects by which instances list themselves.
inline constexpr std::string_view kInstanceKind = "redwinginstances";

// Makes the object that lists an instance.
StoredObject EncodeInstanceRecord(const Identity& identity);
// Returns nothing for an object of another shape.
std::optional<ListedInstance> DecodeInstanceRecord(const StoredObject& object);

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_INSTANCE_RECORD_H_
