#include "framework/http/carried_ids.h"

#include <algorithm>
#include <functional>

namespace redwing {

namespace {
size_t HashOf(std::string_view id) {
  return std::hash<std::string_view>()(id);
}
}  // namespace

bool CarriedIds::Contains(std::string_view id) const {
  return std::find(hashes_.begin(), hashes_.end(), HashOf(id)) != hashes_.end();
}

void CarriedIds::Add(std::string_view id) {
  hashes_.push_back(HashOf(id));
}

}  // namespace redwing
