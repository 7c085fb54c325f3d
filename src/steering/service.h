#ifndef REDWING_STEERING_SERVICE_H_
#define REDWING_STEERING_SERVICE_H_

#include <string>
#include <string_view>
#include <vector>

#include "steering/route.h"
#include "steering/target.h"

namespace redwing {

// A named group of targets and the routes that lead to it.
struct Service {
  std::string name;
  // Its targets are those that the platform lists, beside the ones named here.
  bool discovered = false;
  // Its targets repeat the id of each attempt in their answers, so that an
  // answer without it is not the request's own.
  bool echoes_attempt_ids = false;
  // How long a target that has just started stays cold, and the requests a
  // second that it bears meanwhile over the whole fleet; zero when unlimited.
  Milliseconds warm_up{0};
  double warm_up_rate = 0;
  std::vector<Target> targets;
  std::vector<Route> routes;

  // Returns the route with the longest matching path prefix; null when no
  // route matches. `path_known` tells whether some route has the path.
  const Route* FindRoute(std::string_view method,
                         std::string_view path,
                         bool* path_known) const;
};

}  // namespace redwing

#endif  // REDWING_STEERING_SERVICE_H_
