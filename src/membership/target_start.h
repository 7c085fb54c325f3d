#ifndef REDWING_MEMBERSHIP_TARGET_START_H_
#define REDWING_MEMBERSHIP_TARGET_START_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

// Names one start of a target between instances.
struct TargetStart {
  TargetStart() = default;
  TargetStart(std::string_view name, uint64_t start);

  // Hash64 of the target's name.
  uint64_t name_hash = 0;
  // As Target::started_at.
  uint64_t started_at = 0;

  // As a header field carries it.
  std::string Format() const;
  // Returns nothing for what Format() does not write.
  static std::optional<TargetStart> Parse(std::string_view text);

  bool operator==(const TargetStart& other) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name_hash, started_at);
  }
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_TARGET_START_H_
