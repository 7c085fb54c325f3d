#ifndef REDWING_ADMIN_INTERNAL_EDIT_CHECKS_H_
#define REDWING_ADMIN_INTERNAL_EDIT_CHECKS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/drains.h"
#include "steering/section.h"

namespace redwing {

// Finds services that would have no target left that takes work.
std::vector<std::string> FindStrandedServices(
    const std::vector<Section>& sections,
    const Drains& drains);

// Finds regions and links whose limits would fall below what the fleet asks of
// them now. `status` is the answer of FleetView::Status().
std::vector<std::string> FindExceededLimits(
    const std::vector<Section>& sections,
    const nlohmann::json& status);

}  // namespace redwing

#endif  // REDWING_ADMIN_INTERNAL_EDIT_CHECKS_H_
