#include "steering/steering_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <set>

namespace redwing {

namespace {

template <typename T>
const T* FindIn(const std::map<std::string, T, std::less<>>& map,
                std::string_view name) {
  const auto item = map.find(name);
  return item == map.end() ? nullptr : &item->second;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  });
  return lower;
}

// Collects the problems of one document.
class DocumentChecker {
 public:
  explicit DocumentChecker(const std::vector<Section>& sections)
      : sections_(sections), document_(sections) {}

  std::vector<std::string> Check() {
    for (const Section& section : sections_) {
      section_ = section.name;
      CheckRegions(section);
      CheckLinks(section);
      CheckServices(section);
      CheckWorkspaces(section);
      CheckClients(section);
      CheckHostRoutes(section);
    }
    return std::move(problems_);
  }

 private:
  void Add(std::string_view what,
           std::string_view name,
           std::string_view problem) {
    problems_.push_back(fmt::format("section \"{}\": {} \"{}\": {}", section_,
                                    what, name, problem));
  }

  void CheckUnique(std::set<std::string>* seen,
                   std::string_view what,
                   const std::string& name) {
    if (!seen->insert(name).second) {
      Add(what, name, "is defined twice");
    }
  }

  void CheckRegions(const Section& section) {
    for (const Region& region : section.regions) {
      CheckUnique(&regions_, "region", region.name);
    }
  }

  void CheckLinks(const Section& section) {
    for (const Link& link : section.links) {
      const std::string name = fmt::format("{}>{}", link.from, link.to);
      CheckUnique(&links_, "link", name);
      for (const std::string& end : {link.from, link.to}) {
        if (document_.FindRegion(end) == nullptr) {
          Add("link", name, fmt::format("region \"{}\" does not exist", end));
        }
      }
      if (link.from == link.to) {
        Add("link", name, "leads to its own region");
      }
    }
  }

  void CheckServices(const Section& section) {
    for (const Service& service : section.services) {
      CheckUnique(&services_, "service", service.name);
      if (service.targets.empty() && !service.discovered) {
        Add("service", service.name, "has no targets");
      }
      if (service.routes.empty() && !IsReachedByHost(service.name)) {
        Add("service", service.name, "has no routes");
      }
      std::set<std::string> routes;
      for (const Route& route : service.routes) {
        CheckUnique(&routes, "route", route.name);
      }
      for (const Target& target : service.targets) {
        CheckTarget(target);
      }
    }
  }

  bool IsReachedByHost(const std::string& service) const {
    const auto leads_to_it = [&service](const HostRoute& route) {
      return std::any_of(route.services.begin(), route.services.end(),
                         [&service](const ServiceShare& share) {
                           return share.service == service;
                         });
    };
    return std::any_of(sections_.begin(), sections_.end(),
                       [&leads_to_it](const Section& section) {
                         return std::any_of(section.host_routes.begin(),
                                            section.host_routes.end(),
                                            leads_to_it);
                       });
  }

  void CheckHostRoutes(const Section& section) {
    for (const HostRoute& host_route : section.host_routes) {
      const Route& route = host_route.route;
      CheckUnique(&host_route_names_, "host route", route.name);
      CheckUnique(&host_paths_, "host route",
                  LowerCase(host_route.host) + route.path_prefix);
      for (const ServiceShare& share : host_route.services) {
        if (document_.FindService(share.service) == nullptr) {
          Add("host route", route.name,
              fmt::format("service \"{}\" does not exist", share.service));
        }
      }
      for (const std::string& region : route.home_regions) {
        if (document_.FindRegion(region) == nullptr) {
          Add("host route", route.name,
              fmt::format("region \"{}\" does not exist", region));
        }
      }
    }
  }

  void CheckTarget(const Target& target) {
    CheckUnique(&targets_, "target", target.name);
    const Region* const region = document_.FindRegion(target.region);
    if (region == nullptr) {
      Add("target", target.name,
          fmt::format("region \"{}\" does not exist", target.region));
      return;
    }
    const bool known =
        std::find(region->failure_domains.begin(),
                  region->failure_domains.end(),
                  target.failure_domain) != region->failure_domains.end();
    if (!known) {
      Add("target", target.name,
          fmt::format("failure domain \"{}\" is not in region \"{}\"",
                      target.failure_domain, target.region));
    }
  }

  void CheckWorkspaces(const Section& section) {
    for (const Workspace& workspace : section.workspaces) {
      CheckUnique(&workspaces_, "workspace", workspace.name);
      for (const std::string& entry : workspace.may_call) {
        CheckCall(workspace, entry);
      }
    }
  }

  void CheckClients(const Section& section) {
    for (const ClientBlock& block : section.clients) {
      const std::string name =
          fmt::format("{}/{}", block.address.to_string(), block.prefix_length);
      CheckUnique(&clients_, "client block", name);
      if (document_.FindRegion(block.region) == nullptr) {
        Add("client block", name,
            fmt::format("region \"{}\" does not exist", block.region));
      }
    }
  }

  void CheckCall(const Workspace& workspace, const std::string& entry) {
    if (entry == Workspace::kAnyService) {
      return;
    }
    const size_t slash = entry.find('/');
    const Service* const service =
        document_.FindService(entry.substr(0, slash));
    if (service == nullptr) {
      Add("workspace", workspace.name,
          fmt::format("may call \"{}\", which does not exist", entry));
      return;
    }
    if (slash == std::string::npos) {
      return;
    }
    const std::string route = entry.substr(slash + 1);
    const bool known =
        std::any_of(service->routes.begin(), service->routes.end(),
                    [&route](const Route& r) { return r.name == route; });
    if (!known) {
      Add("workspace", workspace.name,
          fmt::format("may call \"{}\", which does not exist", entry));
    }
  }

  const std::vector<Section>& sections_;
  SteeringDocument document_;
  std::string section_;
  std::set<std::string> regions_;
  std::set<std::string> links_;
  std::set<std::string> services_;
  std::set<std::string> targets_;
  std::set<std::string> workspaces_;
  std::set<std::string> clients_;
  std::set<std::string> host_route_names_;
  std::set<std::string> host_paths_;
  std::vector<std::string> problems_;
};

}  // namespace

SteeringDocument::SteeringDocument(const std::vector<Section>& sections,
                                   uint64_t revision)
    : revision_(revision) {
  std::vector<ClientBlock> clients;
  for (const Section& section : sections) {
    clients.insert(clients.end(), section.clients.begin(),
                   section.clients.end());
    for (const Region& region : section.regions) {
      regions_.emplace(region.name, region);
    }
    for (const Link& link : section.links) {
      if (FindLink(link.from, link.to) == nullptr) {
        links_.push_back(link);
      }
    }
    for (const Service& service : section.services) {
      services_.emplace(service.name, service);
    }
    for (const Workspace& workspace : section.workspaces) {
      workspaces_.emplace(workspace.name, workspace);
    }
    for (const HostRoute& route : section.host_routes) {
      host_routes_[LowerCase(route.host)].push_back(route);
    }
    if (section.caller_limits) {
      caller_limits_ = *section.caller_limits;
    }
  }
  for (auto& [host, routes] : host_routes_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const HostRoute& a, const HostRoute& b) {
                       return a.route.path_prefix.size() >
                              b.route.path_prefix.size();
                     });
  }
  clients_ = ClientBlockTable(clients);
}

const Region* SteeringDocument::FindRegion(std::string_view name) const {
  return FindIn(regions_, name);
}

const Link* SteeringDocument::FindLink(std::string_view from,
                                       std::string_view to) const {
  const auto link =
      std::find_if(links_.begin(), links_.end(),
                   [&](const Link& l) { return l.from == from && l.to == to; });
  return link == links_.end() ? nullptr : &*link;
}

const Service* SteeringDocument::FindService(std::string_view name) const {
  return FindIn(services_, name);
}

const Workspace* SteeringDocument::FindWorkspace(std::string_view name) const {
  return FindIn(workspaces_, name);
}

const HostRoute* SteeringDocument::FindHostRoute(std::string_view host,
                                                 std::string_view path) const {
  const auto routes = host_routes_.find(LowerCase(host));
  if (routes == host_routes_.end()) {
    return nullptr;
  }
  const auto route = std::find_if(
      routes->second.begin(), routes->second.end(), [path](const HostRoute& r) {
        return path.substr(0, r.route.path_prefix.size()) ==
               r.route.path_prefix;
      });
  return route == routes->second.end() ? nullptr : &*route;
}

const HostRoute* SteeringDocument::FindHostRouteByName(
    std::string_view name) const {
  for (const auto& [host, routes] : host_routes_) {
    const auto route = std::find_if(
        routes.begin(), routes.end(),
        [name](const HostRoute& r) { return r.route.name == name; });
    if (route != routes.end()) {
      return &*route;
    }
  }
  return nullptr;
}

SteeringDocument SteeringDocument::WithTargets(const TargetMap& targets) const {
  SteeringDocument copy = *this;
  for (const auto& [name, list] : targets) {
    const auto service = copy.services_.find(name);
    if (service != copy.services_.end() && service->second.discovered) {
      service->second.targets.insert(service->second.targets.end(),
                                     list.begin(), list.end());
    }
  }
  return copy;
}

std::vector<std::string> FindDocumentProblems(
    const std::vector<Section>& sections) {
  return DocumentChecker(sections).Check();
}

}  // namespace redwing
