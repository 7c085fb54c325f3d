#ifndef REDWING_CONFIG_LISTING_CODEC_H_
#define REDWING_CONFIG_LISTING_CODEC_H_

#include <string>

#include "config/state_entry.h"
#include "store/instance_directory.h"

namespace redwing {

// Converts the platform's list to and from the replicated entry "listing",
// whose revision is the list's version.
StateEntry EncodeListing(const InstanceList& list);
InstanceList DecodeListing(const StateEntry& entry);

}  // namespace redwing

#endif  // REDWING_CONFIG_LISTING_CODEC_H_
