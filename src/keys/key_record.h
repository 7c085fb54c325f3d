#ifndef REDWING_KEYS_KEY_RECORD_H_
#define REDWING_KEYS_KEY_RECORD_H_

#include <string>
#include <vector>

namespace redwing {

// Stored record of an API key: a salted hash of its secret, never the secret.
// The record of an opaque key, which was issued elsewhere, has only the id.
struct KeyRecord {
  // Public part of the key; may be logged.
  std::string id;
  std::string salt;
  std::string hash;
  // Workspace of a caller's key; empty for an operator's key.
  std::string workspace;
  // Name of the operator; empty for a caller's key.
  std::string operator_name;
  // Sections that the operator may edit; "*" stands for all.
  std::vector<std::string> sections;

  bool opaque() const { return salt.empty() && hash.empty(); }
};

}  // namespace redwing

#endif  // REDWING_KEYS_KEY_RECORD_H_
