#ifndef REDWING_DELIVERY_INTERNAL_REQUEST_TRAIL_H_
#define REDWING_DELIVERY_INTERNAL_REQUEST_TRAIL_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "delivery/request_decision.h"

namespace redwing {

// Keeps this instance's recent decisions on requests, so that operators can
// look up why a request was decided as it was. Long ids and texts are
// truncated.
class RequestTrail {
 public:
  // `capacity`: maximum number of decisions kept; 0 keeps none.
  explicit RequestTrail(size_t capacity);

  // Adds a decision; replaces the oldest one if the trail is full.
  void Add(RequestDecision decision);
  // Returns the decisions kept on a request, oldest first. Scans all decisions.
  std::vector<RequestDecision> Find(std::string_view request_id) const;

 private:
  size_t capacity_;
  // Index of the oldest decision, which is replaced next once the trail is
  // full.
  size_t next_ = 0;
  std::vector<RequestDecision> decisions_;
};

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_REQUEST_TRAIL_H_
