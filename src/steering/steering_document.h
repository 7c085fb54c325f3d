#ifndef REDWING_STEERING_STEERING_DOCUMENT_H_
#define REDWING_STEERING_STEERING_DOCUMENT_H_

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
  explicit SteeringDocument(const std::vector<Section>& sections);

  const Region* FindRegion(std::string_view name) const;
  const Link* FindLink(std::string_view from, std::string_view to) const;
  const Service* FindService(std::string_view name) const;
  const Workspace* FindWorkspace(std::string_view name) const;

  using RegionMap = std::map<std::string, Region, std::less<>>;
  using ServiceMap = std::map<std::string, Service, std::less<>>;
  using WorkspaceMap = std::map<std::string, Workspace, std::less<>>;
  const RegionMap& regions() const { return regions_; }
  const std::vector<Link>& links() const { return links_; }
  const ServiceMap& services() const { return services_; }
  const WorkspaceMap& workspaces() const { return workspaces_; }
  const ClientBlockTable& clients() const { return clients_; }

 private:
  RegionMap regions_;
  std::vector<Link> links_;
  ServiceMap services_;
  WorkspaceMap workspaces_;
  ClientBlockTable clients_;
};

// Checks a document as a whole: names that are defined twice, references to
// what does not exist, services without targets. Returns the problems found.
std::vector<std::string> FindDocumentProblems(
    const std::vector<Section>& sections);

}  // namespace redwing

#endif  // REDWING_STEERING_STEERING_DOCUMENT_H_
