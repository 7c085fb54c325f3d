#ifndef REDWING_KEYS_API_KEY_H_
#define REDWING_KEYS_API_KEY_H_

#include <optional>
#include <string>
#include <string_view>

#include "keys/key_record.h"

namespace redwing {

// An API key as issued: "rwk_", 16 hexadecimal digits of id, "_" and 48
// hexadecimal digits of secret. It is never logged and never sent to a target.
struct ApiKey {
  std::string id;
  std::string secret;

  static ApiKey Generate();
  // Returns std::nullopt if the text does not have the format of an API key.
  static std::optional<ApiKey> Parse(std::string_view text);

  std::string Text() const;
  // Sets id, salt and hash of a record; the salt is new.
  void FillRecord(KeyRecord* record) const;
  // Returns whether the secret matches the hash of the record; compares in
  // constant time.
  bool Matches(const KeyRecord& record) const;
};

// Returns the id of a key that was issued elsewhere and contains no id: a
// digest of its text, so that its record can be found without storing the key.
std::string OpaqueKeyId(std::string_view text);

}  // namespace redwing

#endif  // REDWING_KEYS_API_KEY_H_
