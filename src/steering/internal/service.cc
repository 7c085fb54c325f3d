#include "steering/service.h"

#include <algorithm>

namespace redwing {

namespace {

bool PathMatches(std::string_view path, std::string_view prefix) {
  if (path.substr(0, prefix.size()) != prefix) {
    return false;
  }
  return prefix.back() == '/' || path.size() == prefix.size() ||
         path[prefix.size()] == '/';
}

}  // namespace

const Route* Service::FindRoute(std::string_view method,
                                std::string_view path,
                                bool* path_known) const {
  const Route* best = nullptr;
  *path_known = false;
  for (const Route& route : routes) {
    if (!PathMatches(path, route.path_prefix)) {
      continue;
    }
    *path_known = true;
    const bool method_allowed =
        std::find(route.methods.begin(), route.methods.end(), method) !=
        route.methods.end();
    if (method_allowed && (best == nullptr || route.path_prefix.size() >
                                                  best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

}  // namespace redwing
