#ifndef REDWING_CONFIG_STATE_ENTRY_H_
#define REDWING_CONFIG_STATE_ENTRY_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace redwing {

// Kind and names under which the shared state is kept in the store.
inline constexpr std::string_view kStateKind = "redwingstates";
inline constexpr std::string_view kSectionPrefix = "section.";
inline constexpr std::string_view kKeysPrefix = "keys.";
inline constexpr std::string_view kDrainsName = "drains";
inline constexpr std::string_view kListingName = "listing";
// The grow-only set of withdrawn keys; merged, not ordered by revision.
inline constexpr std::string_view kWithdrawalsName = "withdrawals";

// One piece of replicated state. A higher revision replaces a lower one.
struct StateEntry {
  std::string name;
  uint64_t revision = 0;
  std::string body;  // JSON

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, revision, body);
  }
};

}  // namespace redwing

#endif  // REDWING_CONFIG_STATE_ENTRY_H_
