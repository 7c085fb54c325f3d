#ifndef REDWING_STEERING_LINK_H_
#define REDWING_STEERING_LINK_H_

#include <string>

namespace redwing {

// The directed network link from one region to another.
struct Link {
  std::string from;
  std::string to;
  double cap = 0;  // bytes a second
};

}  // namespace redwing

#endif  // REDWING_STEERING_LINK_H_
