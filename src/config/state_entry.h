#ifndef REDWING_CONFIG_STATE_ENTRY_H_
#define REDWING_CONFIG_STATE_ENTRY_H_

#include <string>
#include <string_view>

#include "store/store_version.h"

namespace redwing {

// Kind and names of the objects in the store that contain the replicated state.
inline constexpr std::string_view kStateKind = "redwingstates";
inline constexpr std::string_view kSectionPrefix = "section.";
inline constexpr std::string_view kKeysPrefix = "keys.";
inline constexpr std::string_view kDrainsName = "drains";
inline constexpr std::string_view kListingName = "listing";
// Name of the grow-only set of withdrawn keys. Versions of it are merged rather
// than ordered by version.
inline constexpr std::string_view kWithdrawalsName = "withdrawals";

// One entry of the replicated state. A higher version replaces a lower one.
struct StateEntry {
  std::string name;
  StoreVersion version;
  std::string body;  // JSON

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, version, body);
  }
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_ENTRY_H_
