#ifndef REDWING_ROUTING_TARGET_LOAD_H_
#define REDWING_ROUTING_TARGET_LOAD_H_

#include <optional>
#include <string_view>

namespace redwing {

// Load that a target reports with a response, in requests.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  // Parses "running,waiting,slots". Returns std::nullopt if the text is
  // malformed.
  static std::optional<TargetLoad> Parse(std::string_view text);
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_LOAD_H_
