#ifndef REDWING_ROUTING_TARGET_LOAD_H_
#define REDWING_ROUTING_TARGET_LOAD_H_

#include <optional>
#include <string_view>

namespace redwing {

// What a target says of itself with an answer, in requests.
struct TargetLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;

  // Reads "running,waiting,slots"; nothing when the text is another.
  static std::optional<TargetLoad> Parse(std::string_view text);
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_LOAD_H_
