#ifndef REDWING_MEMBERSHIP_TARGET_START_H_
#define REDWING_MEMBERSHIP_TARGET_START_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

// Identifies one start of a target in messages between instances.
struct TargetStart {
  TargetStart() = default;
  TargetStart(std::string_view name, uint64_t start);

  // Hash64 of the target's name.
  uint64_t name_hash = 0;
  // Equals Target::started_at.
  uint64_t started_at = 0;

  // Returns the value for a header field.
  std::string Format() const;
  // Parses the text that Format() returns; std::nullopt if malformed.
  static std::optional<TargetStart> Parse(std::string_view text);

  bool operator==(const TargetStart& other) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name_hash, started_at);
  }
};

}  // namespace redwing

#endif  // REDWING_MEMBERSHIP_TARGET_START_H_
