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
constexpr int64_t kMaxBodyBytes = 64LL * 1024 * 1024;
constexpr int64_t kMaxTimeoutMs = 600'000;
constexpr size_t kMaxNameLength = 63;
constexpr std::array<std::string_view, 6> kMethods = {"GET", "HEAD",   "POST",
                                                      "PUT", "DELETE", "PATCH"};

std::string ReadName(ObjectReader& reader, std::string_view field) {
  std::string name = reader.String(field);
  const bool valid =
      name.size() <= kMaxNameLength &&
      std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
      });
  if (!valid) {
    reader.Reject(field, fmt::format("expected at most {} of a-z, 0-9 and '-', "
                                     "found \"{}\"",
                                     kMaxNameLength, name));
  }
  return name;
}

Region ReadRegion(ObjectReader& reader) {
  Region region;
  region.name = ReadName(reader, "name");
  region.failure_domains = reader.Strings("failure_domains");
  region.rate = reader.Number("rate_per_s", 0.001, kMaxRate);
  region.burst = reader.Number("burst", 1, kMaxRate);
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

Route ReadRoute(ObjectReader& reader) {
  Route route;
  route.name = ReadName(reader, "name");
  route.methods = reader.Strings("methods");
  route.path_prefix = reader.String("path_prefix");
  route.open = reader.Boolean("open", false);
  route.idempotent = reader.Boolean("idempotent", false);
  route.max_request_bytes = static_cast<uint64_t>(
      reader.Integer("max_request_bytes", 0, kMaxBodyBytes, 1024 * 1024));
  route.expected_response_bytes = static_cast<uint64_t>(
      reader.Integer("expected_response_bytes", 0, INT32_MAX, 4096));
  route.timeout =
      Milliseconds(reader.Integer("timeout_ms", 1, kMaxTimeoutMs, 10'000));
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

Service ReadService(ObjectReader& reader) {
  Service service;
  service.name = ReadName(reader, "name");
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
  workspace.rate = reader.Number("rate_per_s", 0.001, kMaxRate);
  workspace.burst = reader.Number("burst", 1, kMaxRate);
  workspace.weight = reader.Number("weight", 0.01, 1000, 1);
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
