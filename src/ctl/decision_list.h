#ifndef REDWING_CTL_DECISION_LIST_H_
#define REDWING_CTL_DECISION_LIST_H_

#include <nlohmann/json.hpp>
#include <string>

namespace redwing {

// Renders the answer of GET /v1/decisions for people: a line for each
// decision, by time, with the instance that made it; then the instances that
// could not be asked. Times are those of the instances' own clocks.
std::string DecisionList(const nlohmann::json& answer);

}  // namespace redwing

#endif  // REDWING_CTL_DECISION_LIST_H_
