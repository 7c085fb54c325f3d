#ifndef REDWING_KEYS_WITHDRAWAL_H_
#define REDWING_KEYS_WITHDRAWAL_H_

#include <cstdint>
#include <string>

namespace redwing {

// Withdrawal of an API key together with its audit data, so that one is never
// replicated without the other.
struct Withdrawal {
  std::string key_id;
  // Name of the operator who withdrew the key.
  std::string by;
  // Wall clock of the instance that accepted the withdrawal, in milliseconds
  // since the epoch; informational only.
  int64_t at_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key_id, by, at_ms);
  }
};

}  // namespace redwing

#endif  // REDWING_KEYS_WITHDRAWAL_H_
