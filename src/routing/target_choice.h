#ifndef REDWING_ROUTING_TARGET_CHOICE_H_
#define REDWING_ROUTING_TARGET_CHOICE_H_

#include <memory>
#include <random>
#include <string_view>
#include <vector>

#include "framework/kernel/clock.h"

namespace redwing {

class TargetState;
struct SlotRequest;

// Strategy that chooses one of the available targets for a request.
class TargetChoice {
 public:
  virtual ~TargetChoice() = default;

  // Returns one of the candidates, which must not be empty.
  virtual TargetState* Choose(const std::vector<TargetState*>& candidates,
                              const SlotRequest& request,
                              TimePoint now,
                              std::mt19937_64& random) const = 0;
};

// Creates the strategy with the given name: "random", "least_outstanding",
// "power_of_two" or "affinity". Returns null for any other name.
std::unique_ptr<TargetChoice> MakeTargetChoice(std::string_view name);

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_CHOICE_H_
