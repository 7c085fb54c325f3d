#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_TRAIL_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_TRAIL_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "delivery/request_decision.h"

namespace redwing {

// Remembers this instance's latest decisions on requests, so that an operator
// can ask why a request was decided so. Long texts are cut.
class RequestTrail {
 public:
  // `capacity`: decisions that are kept; 0 keeps none.
  explicit RequestTrail(size_t capacity);

  // Keeps a decision in place of the oldest one.
  void Add(RequestDecision decision);
  // Returns what is kept on a request, oldest first. Looks through all that is
  // kept.
  std::vector<RequestDecision> Find(std::string_view request_id) const;

 private:
  size_t capacity_;
  // Where the next decision goes once all places are taken.
  size_t next_ = 0;
  std::vector<RequestDecision> decisions_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_TRAIL_H_
