#ifndef REDWING_STEERING_REGION_H_
#define REDWING_STEERING_REGION_H_

#include <string>
#include <vector>

namespace redwing {

// A region and the work it admits.
struct Region {
  std::string name;
  std::vector<std::string> failure_domains;
  double rate = 0;   // requests a second; 0 means no limit
  double burst = 0;  // requests
};

}  // namespace redwing

#endif  // REDWING_STEERING_REGION_H_
