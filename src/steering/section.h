#ifndef REDWING_STEERING_SECTION_H_
#define REDWING_STEERING_SECTION_H_

#include <optional>
#include <string>
#include <vector>

#include "steering/caller_limits.h"
#include "steering/client_block.h"
#include "steering/host_route.h"
#include "steering/link.h"
#include "steering/region.h"
#include "steering/service.h"
#include "steering/workspace.h"

namespace redwing {

// The part of the steering document that belongs to one team.
struct Section {
  std::string name;
  std::string team;
  std::vector<Region> regions;
  std::vector<Link> links;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  std::vector<ClientBlock> clients;
  std::vector<HostRoute> host_routes;
  std::optional<CallerLimits> caller_limits;
};

}  // namespace redwing

#endif  // REDWING_STEERING_SECTION_H_
