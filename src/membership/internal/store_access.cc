#include "membership/store_access.h"

#include <array>
#include <cstddef>

namespace redwing {

namespace {
constexpr std::array<std::string_view, 4> kNames = {"unreported", "idle",
                                                    "answered", "refused"};
}  // namespace

std::string_view StoreAccessName(StoreAccess access) {
  return kNames.at(static_cast<size_t>(access));
}

StoreAccess StoreAccessFromWire(uint8_t value) {
  return value < kNames.size() ? static_cast<StoreAccess>(value)
                               : StoreAccess::kUnreported;
}

}  // namespace redwing
