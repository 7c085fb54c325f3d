#ifndef REDWING_KEYS_API_KEY_H_
#define REDWING_KEYS_API_KEY_H_

#include <optional>
#include <string>
#include <string_view>

#include "keys/key_record.h"

namespace redwing {

// A key as its holder has it: "rwk_" + 16 hexadecimal digits of id + "_" + 48
// of secret. Never logged, never sent towards a target.
struct ApiKey {
  std::string id;
  std::string secret;

  static ApiKey Generate();
  // Returns nothing when the text is not a key.
  static std::optional<ApiKey> Parse(std::string_view text);

  std::string Text() const;
  // Fills the id, a fresh salt and the hash of a record.
  void Seal(KeyRecord* record) const;
  // Compares in constant time.
  bool Matches(const KeyRecord& record) const;
};

// Returns the id of a key that was issued elsewhere and has no id of its own:
// a digest, by which it is found without being kept.
std::string OpaqueKeyId(std::string_view text);

}  // namespace redwing

#endif  // REDWING_KEYS_API_KEY_H_
