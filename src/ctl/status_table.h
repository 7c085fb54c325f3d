#ifndef REDWING_CTL_STATUS_TABLE_H_
#define REDWING_CTL_STATUS_TABLE_H_

#include <nlohmann/json.hpp>
#include <string>

namespace redwing {

// Renders the answer of GET /v1/status for people: instances with the
// revisions in force, budgets with the sums over all instances, the workspace
// served worst, targets that take no work.
std::string StatusTable(const nlohmann::json& status);

}  // namespace redwing

#endif  // REDWING_CTL_STATUS_TABLE_H_
