#include "steering/workspace.h"

#include <algorithm>

namespace redwing {

bool Workspace::MayCall(std::string_view service,
                        std::string_view route) const {
  return std::any_of(
      may_call.begin(), may_call.end(), [&](std::string_view entry) {
        if (entry == kAnyService) {
          return true;
        }
        const size_t slash = entry.find('/');
        const bool route_allowed =
            slash == std::string_view::npos || entry.substr(slash + 1) == route;
        return entry.substr(0, slash) == service && route_allowed;
      });
}

}  // namespace redwing
