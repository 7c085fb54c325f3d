#ifndef REDWING_STEERING_WORKSPACE_H_
#define REDWING_STEERING_WORKSPACE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

// A customer: its rate and what it may call.
struct Workspace {
  static constexpr std::string_view kAnyService = "*";

  std::string name;
  double rate = 0;   // requests a second; 0 means no limit
  double burst = 0;  // requests
  double weight = 1;
  // Rank under load, before the route's own; 0 goes first.
  std::optional<int> priority;
  // Regions in which its requests may run; empty means all.
  std::vector<std::string> home_regions;
  // Entries are "service", "service/route" or "*".
  std::vector<std::string> may_call;
  // Keeps being served, with the key state of that moment, by instances past
  // the freshness limit.
  bool serve_stale = false;

  bool MayCall(std::string_view service, std::string_view route) const;
};

}  // namespace redwing

#endif  // REDWING_STEERING_WORKSPACE_H_
