#ifndef REDWING_ROUTING_KEY_PREFIX_H_
#define REDWING_ROUTING_KEY_PREFIX_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

// The process to which an idempotency key is bound, and the time span in which
// its prefix was handed out.
struct BoundKey {
  std::string process_id;
  uint32_t epoch = 0;
};

// Makes the prefix "PROCESS.EPOCH" of keys bound to a process. A caller
// appends "-" and a text of its own.
std::string KeyPrefix(std::string_view process_id, uint32_t epoch);

// Reads the prefix of a key; nothing when the key has none.
std::optional<BoundKey> ParseBoundKey(std::string_view key);

}  // namespace redwing

#endif  // REDWING_ROUTING_KEY_PREFIX_H_
