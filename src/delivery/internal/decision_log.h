#ifndef REDWING_DELIVERY_INTERNAL_DECISION_LOG_H_
#define REDWING_DELIVERY_INTERNAL_DECISION_LOG_H_

#include <string>
#include <string_view>

namespace redwing {

class RequestTrail;

// Writes a decision on a request to the log and adds it to the trail.
void LogDecision(RequestTrail& trail,
                 std::string_view request_id,
                 std::string text);

}  // namespace redwing

#endif  // REDWING_DELIVERY_INTERNAL_DECISION_LOG_H_
