#ifndef REDWING_CONFIG_DRAINS_H_
#define REDWING_CONFIG_DRAINS_H_

#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace redwing {

// What operators have drained: it gets no new work.
struct Drains {
  std::set<std::string> targets;
  std::set<std::string> failure_domains;
  // Failure domains of which only the targets are drained.
  std::set<std::string> target_failure_domains;
  std::set<std::string> regions;
  std::set<std::string> instances;

  // Reads the body of the "drains" entry; anything ill-formed is ignored.
  static Drains Parse(const std::string& body);
  nlohmann::json ToJson() const;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_DRAINS_H_
