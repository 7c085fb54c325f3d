#ifndef REDWING_STEERING_TARGET_H_
#define REDWING_STEERING_TARGET_H_

#include <string>

namespace redwing {

// A back end of a service.
struct Target {
  std::string name;
  std::string address;
  std::string region;
  std::string failure_domain;
  // Number of requests it executes at a time.
  int slots = 1;
};

}  // namespace redwing

#endif  // REDWING_STEERING_TARGET_H_
