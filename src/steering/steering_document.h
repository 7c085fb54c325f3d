#ifndef REDWING_STEERING_STEERING_DOCUMENT_H_
#define REDWING_STEERING_STEERING_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "steering/client_block_table.h"
#include "steering/section.h"

namespace redwing {

// All sections merged. Where two sections define the same name, the section
// that comes first by name wins; validation refuses such a document, so this
// only happens for a moment when two editors race.
class SteeringDocument {
 public:
  // `revision`: the newest of the sections'.
  explicit SteeringDocument(const std::vector<Section>& sections,
                            uint64_t revision = 0);

  uint64_t revision() const { return revision_; }

  const Region* FindRegion(std::string_view name) const;
  const Link* FindLink(std::string_view from, std::string_view to) const;
  const Service* FindService(std::string_view name) const;
  const Workspace* FindWorkspace(std::string_view name) const;
  // Returns the route of a host with the longest prefix that begins the path;
  // null when there is none. The host is compared without regard to case.
  const HostRoute* FindHostRoute(std::string_view host,
                                 std::string_view path) const;
  const HostRoute* FindHostRouteByName(std::string_view name) const;

  using RegionMap = std::map<std::string, Region, std::less<>>;
  using ServiceMap = std::map<std::string, Service, std::less<>>;
  using WorkspaceMap = std::map<std::string, Workspace, std::less<>>;
  const RegionMap& regions() const { return regions_; }
  const std::vector<Link>& links() const { return links_; }
  const ServiceMap& services() const { return services_; }
  const WorkspaceMap& workspaces() const { return workspaces_; }
  const ClientBlockTable& clients() const { return clients_; }
  const CallerLimits& caller_limits() const { return caller_limits_; }

  // Returns a copy in which a service has these targets beside its own.
  // Targets of services that do not exist are left out.
  using TargetMap = std::map<std::string, std::vector<Target>, std::less<>>;
  SteeringDocument WithTargets(const TargetMap& targets) const;

 private:
  uint64_t revision_;
  RegionMap regions_;
  std::vector<Link> links_;
  ServiceMap services_;
  WorkspaceMap workspaces_;
  ClientBlockTable clients_;
  CallerLimits caller_limits_;
  // By host in lower case; longest path prefix first.
  std::map<std::string, std::vector<HostRoute>, std::less<>> host_routes_;
};

// Checks a document as a whole: names that are defined twice, references to
// what does not exist, services without targets. Returns the problems found.
std::vector<std::string> FindDocumentProblems(
    const std::vector<Section>& sections);

}  // namespace redwing

#endif  // REDWING_STEERING_STEERING_DOCUMENT_H_
