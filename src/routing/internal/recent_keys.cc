#include "routing/recent_keys.h"

namespace redwing {

bool RecentKeys::Add(uint64_t key) {
  if (!keys_.insert(key).second) {
    return true;
  }
  order_.push_back(key);
  if (order_.size() > kMaxKeys) {
    keys_.erase(order_.front());
    order_.pop_front();
  }
  return false;
}

}  // namespace redwing
