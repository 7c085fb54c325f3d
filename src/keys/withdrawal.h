#ifndef REDWING_KEYS_WITHDRAWAL_H_
#define REDWING_KEYS_WITHDRAWAL_H_

#include <cstdint>
#include <string>

namespace redwing {

// A withdrawn key with its audit record, so that the two cannot part.
struct Withdrawal {
  std::string key_id;
  // The operator who withdrew it.
  std::string by;
  // Wall clock of the instance that took the withdrawal, milliseconds since
  // the epoch; for people only.
  int64_t at_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key_id, by, at_ms);
  }
};

}  // namespace redwing

#endif  // REDWING_KEYS_WITHDRAWAL_H_
