#ifndef REDWING_BUDGET_INTERNAL_EXPIRY_H_
#define REDWING_BUDGET_INTERNAL_EXPIRY_H_

#include <algorithm>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing {

// Removes expired leases or grants. `Item` has a field `until`, its expiry.
template <typename Item>
void RemoveExpired(std::vector<Item>* items, TimePoint now) {
  items->erase(
      std::remove_if(items->begin(), items->end(),
                     [now](const Item& item) { return item.until <= now; }),
      items->end());
}

}  // namespace redwing

#endif  // REDWING_BUDGET_INTERNAL_EXPIRY_H_
