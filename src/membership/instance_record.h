#ifndef REDWING_MEMBERSHIP_INSTANCE_RECORD_H_
#define REDWING_MEMBERSHIP_INSTANCE_RECORD_H_

#include <optional>
#include <string_view>

#include "store/instance_directory.h"
#include "store/stored_object.h"

namespace redwing {

struct Identity;

// Kind of the store objects with which instances register themselves.
inline constexpr std::string_view kInstanceKind = "redwinginstances";

// Returns the store object that registers an instance.
StoredObject EncodeInstanceRecord(const Identity& identity);
// Returns std::nullopt if a field is missing or an address is invalid.
std::optional<ListedInstance> DecodeInstanceRecord(const StoredObject& object);

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_INSTANCE_RECORD_H_
