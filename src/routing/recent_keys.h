#ifndef REDWING_ROUTING_RECENT_KEYS_H_
#define REDWING_ROUTING_RECENT_KEYS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace redwing {

// The affinity keys that a target has handled lately.
class RecentKeys {
 public:
  // Adds a key; returns whether it was there.
  bool Add(uint64_t key);
  bool Contains(uint64_t key) const { return keys_.count(key) > 0; }

 private:
  // More than targets are likely to keep warm; older keys say nothing.
  static constexpr size_t kKept = 256;

  std::unordered_set<uint64_t> keys_;
  std::deque<uint64_t> order_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_RECENT_KEYS_H_
