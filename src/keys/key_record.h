#ifndef REDWING_KEYS_KEY_RECORD_H_
#define REDWING_KEYS_KEY_RECORD_H_

#include <string>
#include <vector>

namespace redwing {

// What is kept of an issued key: a salted hash of its secret, never the secret.
// Of an opaque key, which was issued elsewhere, only the id is kept.
struct KeyRecord {
  // Public part of the key; may be logged.
  std::string id;
  std::string salt;
  std::string hash;
  // Workspace of a caller's key; empty for an operator's.
  std::string workspace;
  // Name of the operator; empty for a caller's key.
  std::string operator_name;
  // Sections which the operator may edit; "*" stands for all.
  std::vector<std::string> sections;

  bool opaque() const { return salt.empty() && hash.empty(); }
};

}  // namespace redwing

#endif  // REDWING_KEYS_KEY_RECORD_H_
