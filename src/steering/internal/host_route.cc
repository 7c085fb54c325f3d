#include "steering/host_route.h"

#include <numeric>

namespace redwing {

const std::string& HostRoute::ServiceAt(double point) const {
  const double total = std::accumulate(
      services.begin(), services.end(), 0.0,
      [](double sum, const ServiceShare& share) { return sum + share.weight; });
  double left = point * total;
  for (const ServiceShare& share : services) {
    if (left < share.weight) {
      return share.service;
    }
    left -= share.weight;
  }
  return services.back().service;
}

}  // namespace redwing
