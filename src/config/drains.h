#ifndef REDWING_CONFIG_DRAINS_H_
#define REDWING_CONFIG_DRAINS_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace redwing {

// Names of the objects that operators have drained. Drained objects receive no
// new requests.
struct Drains {
  std::set<std::string> targets;
  std::set<std::string> failure_domains;
  // Failure domains in which only the targets are drained, not the instances.
  std::set<std::string> target_failure_domains;
  std::set<std::string> regions;
  std::set<std::string> instances;

  // Parses the JSON body of the "drains" entry. Malformed parts are ignored, so
  // a body that is no JSON object gives empty drains.
  static Drains Parse(const std::string& body);
  nlohmann::json ToJson() const;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_DRAINS_H_
