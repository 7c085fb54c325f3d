#ifndef REDWING_ROUTING_RECENT_KEYS_H_
#define REDWING_ROUTING_RECENT_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace redwing {

// Affinity keys of the requests that a target handled recently, up to a fixed
// number.
class RecentKeys {
 public:
  // Adds a key. Returns whether it was already present.
  bool Add(uint64_t key);
  bool Contains(uint64_t key) const { return keys_.count(key) > 0; }

 private:
  // More objects than a target is likely to keep warm; older keys predict
  // nothing.
  static constexpr size_t kMaxKeys = 256;

  std::unordered_set<uint64_t> keys_;
  std::deque<uint64_t> order_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_RECENT_KEYS_H_
