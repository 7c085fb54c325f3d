#include "routing/target_choice.h"

#include <algorithm>

#include "routing/target_state.h"

namespace redwing {

namespace {

size_t DrawIndex(size_t size, std::mt19937_64& random) {
  return std::uniform_int_distribution<size_t>(0, size - 1)(random);
}

// Part of the slots in use.
double Load(const TargetState& state, TimePoint now) {
  return state.ExpectedWork(now) / state.target().slots;
}

class RandomChoice : public TargetChoice {
 public:
  TargetState* Choose(const std::vector<TargetState*>& candidates,
                      TimePoint /*now*/,
                      std::mt19937_64& random) const override {
    return candidates[DrawIndex(candidates.size(), random)];
  }
};

class LeastOutstandingChoice : public TargetChoice {
 public:
  TargetState* Choose(const std::vector<TargetState*>& candidates,
                      TimePoint now,
                      std::mt19937_64& random) const override {
    // Ties are broken by lot, so that instances do not move in step.
    const size_t start = DrawIndex(candidates.size(), random);
    TargetState* best = candidates[start];
    for (size_t i = 1; i < candidates.size(); ++i) {
      TargetState* const next = candidates[(start + i) % candidates.size()];
      if (Load(*next, now) < Load(*best, now)) {
        best = next;
      }
    }
    return best;
  }
};

class PowerOfTwoChoice : public TargetChoice {
 public:
  TargetState* Choose(const std::vector<TargetState*>& candidates,
                      TimePoint now,
                      std::mt19937_64& random) const override {
    TargetState* const a = candidates[DrawIndex(candidates.size(), random)];
    TargetState* const b = candidates[DrawIndex(candidates.size(), random)];
    return Load(*b, now) < Load(*a, now) ? b : a;
  }
};

}  // namespace

std::unique_ptr<TargetChoice> MakeTargetChoice(std::string_view name) {
  if (name == "random") {
    return std::make_unique<RandomChoice>();
  }
  if (name == "least_outstanding") {
    return std::make_unique<LeastOutstandingChoice>();
  }
  if (name == "power_of_two") {
    return std::make_unique<PowerOfTwoChoice>();
  }
  return nullptr;
}

}  // namespace redwing
