#ifndef REDWING_CONFIG_LISTING_CODEC_H_
#define REDWING_CONFIG_LISTING_CODEC_H_

#include <string>

#include "config/state_entry.h"
#include "store/instance_directory.h"

namespace redwing {

// Encodes the platform's list of instances as the replicated entry "listing".
// The version of the entry is that of the list.
StateEntry EncodeListing(const InstanceList& list);
// Decodes the replicated entry "listing". Skips malformed items; the list is
// empty if the body is no JSON array.
InstanceList DecodeListing(const StateEntry& entry);

}  // namespace redwing

#endif  // REDWING_CONFIG_LISTING_CODEC_H_
