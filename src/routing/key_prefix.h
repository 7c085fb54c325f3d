#ifndef REDWING_ROUTING_KEY_PREFIX_H_
#define REDWING_ROUTING_KEY_PREFIX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

// The process to which an idempotency key is bound, and the epoch in which the
// key's prefix was issued.
struct BoundKey {
  std::string process_id;
  uint32_t epoch = 0;
};

// Returns the prefix "PROCESS.EPOCH" of keys bound to a process. The caller
// appends "-" and a text of its own.
std::string KeyPrefix(std::string_view process_id, uint32_t epoch);

// Parses the prefix of a key. Returns std::nullopt if the key has no valid
// prefix.
std::optional<BoundKey> ParseBoundKey(std::string_view key);

}  // namespace redwing

#endif  // REDWING_ROUTING_KEY_PREFIX_H_
