#ifndef REDWING_DELIVERY_REQUEST_DECISION_H_
#define REDWING_DELIVERY_REQUEST_DECISION_H_

#include <cstdint>
#include <string>

namespace redwing {

// A decision of an instance on a request, with the inputs that led to it.
struct RequestDecision {
  int64_t at_ms = 0;  // since 1970, by the instance's clock
  std::string request_id;
  std::string text;  // a line of the log: key=value pairs
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_REQUEST_DECISION_H_
