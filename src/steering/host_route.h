#ifndef REDWING_STEERING_HOST_ROUTE_H_
#define REDWING_STEERING_HOST_ROUTE_H_

#include <string>
#include <string_view>
#include <vector>

#include "steering/route.h"

namespace redwing {

// A service and its part of a route's requests.
struct ServiceShare {
  std::string service;
  double weight = 1;
};

// A route that callers reach by host name and path, without naming a service.
// Its path prefix ends with "/" and its path goes to targets unchanged.
struct HostRoute {
  std::string host;
  Route route;
  std::vector<ServiceShare> services;

  // Returns the service at a point of the split, 0 to 1.
  const std::string& ServiceAt(double point) const;
};

}  // namespace redwing

#endif  // REDWING_STEERING_HOST_ROUTE_H_
