#include "steering/section_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>

namespace redwing {

namespace {

constexpr double kMaxRate = 1e9;
constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr int64_t kMaxTimeoutMs = 24LL * 60 * 60 * 1000;
constexpr size_t kMaxNameLength = 253;
constexpr int64_t kMaxAttempts = 1000;
constexpr int64_t kLowestPriority = INT32_MAX;
constexpr std::array<std::string_view, 6> kMethods = {"GET", "HEAD",   "POST",
                                                      "PUT", "DELETE", "PATCH"};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

// Names are segments of paths, so none begins with a dot.
std::string ReadName(ObjectReader& reader, std::string_view field) {
  std::string name = reader.String(field);
  const bool valid = name.size() <= kMaxNameLength &&
                     name.substr(0, 1) != "." &&
                     std::all_of(name.begin(), name.end(), IsNameCharacter);
  if (!valid) {
    reader.Reject(field, fmt::format("expected at most {} letters, digits, "
                                     "'-', '_' and '.', found \"{}\"",
                                     kMaxNameLength, name));
  }
  return name;
}

Region ReadRegion(ObjectReader& reader) {
  Region region;
  region.name = ReadName(reader, "name");
  region.failure_domains = reader.Strings("failure_domains");
  region.rate = reader.Number("rate_per_s", 0, kMaxRate);
  region.burst = reader.Number("burst", 0, kMaxRate);
  if (region.failure_domains.empty()) {
    reader.Reject("failure_domains", "expected at least one failure domain");
  }
  return region;
}

Link ReadLink(ObjectReader& reader) {
  Link link;
  link.from = ReadName(reader, "from");
  link.to = ReadName(reader, "to");
  link.cap =
      reader.Number("cap_mbit_per_s", 0.001, kMaxRate) * kBytesPerMegabit;
  return link;
}

Target ReadTarget(ObjectReader& reader) {
  Target target;
  target.name = ReadName(reader, "name");
  target.address = reader.Endpoint("address");
  target.region = ReadName(reader, "region");
  target.failure_domain = ReadName(reader, "failure_domain");
  target.slots = static_cast<int>(reader.Integer("slots", 1, 100'000));
  return target;
}

// Reads what routes of either kind have in common.
void ReadPolicy(ObjectReader& reader, Route* route) {
  route->open = reader.Boolean("open", false);
  route->idempotent = reader.Boolean("idempotent", false);
  route->max_request_bytes = static_cast<uint64_t>(reader.Integer(
      "max_request_bytes", 0, CallerLimits::kMaxBodyBytes, 1024 * 1024));
  route->expected_response_bytes = static_cast<uint64_t>(
      reader.Integer("expected_response_bytes", 0, INT32_MAX, 4096));
  route->timeout =
      Milliseconds(reader.Integer("timeout_ms", 1, kMaxTimeoutMs, 10'000));
  route->target_latency =
      Milliseconds(reader.Integer("target_latency_ms", 0, kMaxTimeoutMs, 0));
  route->max_attempts = static_cast<int>(reader.Integer(
      "max_attempts", 1, kMaxAttempts, Route::kDefaultMaxAttempts));
  route->priority =
      static_cast<int>(reader.Integer("priority", 0, kLowestPriority, 0));
  route->affinity = reader.Boolean("affinity", false);
  route->home_regions = reader.Strings("home_regions");
}

Route ReadRoute(ObjectReader& reader) {
  Route route;
  route.name = ReadName(reader, "name");
  route.methods = reader.Strings("methods");
  route.path_prefix = reader.String("path_prefix");
  ReadPolicy(reader, &route);
  if (route.methods.empty()) {
    reader.Reject("methods", "expected at least one method");
  }
  for (const std::string& method : route.methods) {
    if (std::find(kMethods.begin(), kMethods.end(), method) == kMethods.end()) {
      reader.Reject("methods", fmt::format("unknown method \"{}\"", method));
    }
  }
  if (!route.path_prefix.empty() && route.path_prefix.front() != '/') {
    reader.Reject("path_prefix", "expected a path that begins with \"/\"");
  }
  return route;
}

HostRoute ReadHostRoute(ObjectReader& reader) {
  HostRoute host_route;
  Route& route = host_route.route;
  route.name = ReadName(reader, "name");
  host_route.host = reader.String("host");
  route.path_prefix = reader.String("path_prefix");
  ReadPolicy(reader, &route);
  const bool whole_segments = !route.path_prefix.empty() &&
                              route.path_prefix.front() == '/' &&
                              route.path_prefix.back() == '/';
  if (!whole_segments) {
    reader.Reject("path_prefix",
                  "expected a path that begins and ends with \"/\"");
  }
  reader.Objects("services", [&host_route](ObjectReader& item) {
    host_route.services.push_back(
        {ReadName(item, "service"), item.Number("weight", 0, kMaxRate, 1)});
  });
  const bool any_weight =
      std::any_of(host_route.services.begin(), host_route.services.end(),
                  [](const ServiceShare& share) { return share.weight > 0; });
  if (!any_weight) {
    reader.Reject("services", "expected a service with a weight above 0");
  }
  return host_route;
}

CallerLimits ReadCallerLimits(ObjectReader& reader) {
  CallerLimits limits;
  limits.header_bytes = static_cast<size_t>(
      reader.Integer("header_bytes", CallerLimits::kMinHeaderBytes,
                     CallerLimits::kMaxHeaderBytes,
                     static_cast<int64_t>(limits.header_bytes)));
  limits.body_bytes = static_cast<uint64_t>(
      reader.Integer("body_bytes", 0, CallerLimits::kMaxBodyBytes,
                     static_cast<int64_t>(limits.body_bytes)));
  limits.header_timeout = Milliseconds(reader.Integer(
      "header_timeout_ms", 1, kMaxTimeoutMs, limits.header_timeout.count()));
  limits.idle_timeout = Milliseconds(reader.Integer(
      "idle_timeout_ms", 1, kMaxTimeoutMs, limits.idle_timeout.count()));
  return limits;
}

Service ReadService(ObjectReader& reader) {
  Service service;
  service.name = ReadName(reader, "name");
  service.discovered = reader.Boolean("discovered", false);
  service.echoes_attempt_ids = reader.Boolean("echoes_attempt_ids", false);
  service.warm_up =
      Milliseconds(reader.Integer("warm_up_ms", 0, kMaxTimeoutMs, 0));
  service.warm_up_rate = reader.Number("warm_up_rate_per_s", 0, kMaxRate, 0);
  reader.Objects("targets", [&service](ObjectReader& item) {
    service.targets.push_back(ReadTarget(item));
  });
  reader.Objects("routes", [&service](ObjectReader& item) {
    service.routes.push_back(ReadRoute(item));
  });
  return service;
}

Workspace ReadWorkspace(ObjectReader& reader) {
  Workspace workspace;
  workspace.name = ReadName(reader, "name");
  workspace.rate = reader.Number("rate_per_s", 0, kMaxRate);
  workspace.burst = reader.Number("burst", 0, kMaxRate);
  workspace.weight = reader.Number("weight", 0.01, 1000, 1);
  if (reader.Has("priority")) {
    workspace.priority =
        static_cast<int>(reader.Integer("priority", 0, kLowestPriority));
  }
  workspace.home_regions = reader.Strings("home_regions");
  workspace.may_call = reader.Strings("may_call");
  workspace.serve_stale = reader.Boolean("serve_stale", false);
  return workspace;
}

ClientBlock ReadClientBlock(ObjectReader& reader) {
  const std::string text = reader.String("block");
  ClientBlock block;
  block.region = ReadName(reader, "region");
  boost::system::error_code v4_ec;
  boost::system::error_code v6_ec;
  const boost::asio::ip::network_v4 v4 =
      boost::asio::ip::make_network_v4(text, v4_ec);
  const boost::asio::ip::network_v6 v6 =
      boost::asio::ip::make_network_v6(text, v6_ec);
  if (!v4_ec && v4 == v4.canonical()) {
    block.address = v4.address();
    block.prefix_length = v4.prefix_length();
  } else if (!v6_ec && v6 == v6.canonical()) {
    block.address = v6.address();
    block.prefix_length = v6.prefix_length();
  } else {
    reader.Reject("block", fmt::format("expected a block such as "
                                       "\"10.1.0.0/16\", found \"{}\"",
                                       text));
  }
  return block;
}

}  // namespace

Section ReadSection(const std::string& name, ObjectReader& reader) {
  Section section;
  section.name = name;
  section.team = reader.String("team");
  reader.Objects("regions", [&section](ObjectReader& item) {
    section.regions.push_back(ReadRegion(item));
  });
  reader.Objects("links", [&section](ObjectReader& item) {
    section.links.push_back(ReadLink(item));
  });
  reader.Objects("services", [&section](ObjectReader& item) {
    section.services.push_back(ReadService(item));
  });
  reader.Objects("workspaces", [&section](ObjectReader& item) {
    section.workspaces.push_back(ReadWorkspace(item));
  });
  reader.Objects("host_routes", [&section](ObjectReader& item) {
    section.host_routes.push_back(ReadHostRoute(item));
  });
  reader.Object("caller_limits", [&section](ObjectReader& item) {
    section.caller_limits = ReadCallerLimits(item);
  });
  reader.Objects("clients", [&section](ObjectReader& item) {
    section.clients.push_back(ReadClientBlock(item));
  });
  return section;
}

Result<Section> ParseSection(const std::string& name, std::string_view text) {
  const Result<JsonSource> source =
      JsonSource::Parse(text, fmt::format("section {}", name));
  if (!source) {
    return source.error();
  }
  Problems problems(source.value());
  ObjectReader reader(source.value().root(), "", problems);
  Section section = ReadSection(name, reader);
  reader.Finish();
  if (!problems.empty()) {
    return NotRun(Errc::kInvalidDocument, problems.Text());
  }
  return section;
}

Result<std::vector<Section>> ParseSections(const JsonSource& source) {
  Problems problems(source);
  ObjectReader reader(source.root(), "", problems);
  std::vector<Section> sections;
  reader.NamedObjects("sections",
                      [&](const std::string& name, ObjectReader& item) {
                        sections.push_back(ReadSection(name, item));
                      });
  reader.Finish();
  if (problems.empty() && sections.empty()) {
    problems.Add("", "\"sections\" is missing or empty");
  }
  if (!problems.empty()) {
    return NotRun(Errc::kInvalidDocument, problems.Text());
  }
  return sections;
}

}  // namespace redwing
