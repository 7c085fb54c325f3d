#ifndef REDWING_STEERING_WORKSPACE_H_
#define REDWING_STEERING_WORKSPACE_H_

#include <string>
#include <string_view>
#include <vector>

namespace redwing {

// A customer: its rate and what it may call.
struct Workspace {
  std::string name;
  double rate = 0;   // requests a second
  double burst = 0;  // requests
  double weight = 1;
  // Entries are "service" or "service/route".
  std::vector<std::string> may_call;
  // Keeps being served, with the key state of that moment, by instances past
  // the freshness limit.
  bool serve_stale = false;

  bool MayCall(std::string_view service, std::string_view route) const;
};

}  // namespace redwing

#endif  // REDWING_STEERING_WORKSPACE_H_
