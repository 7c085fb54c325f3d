#include "routing/target_choice.h"

#include <algorithm>

#include "framework/wire/digest.h"
#include "routing/slot_request.h"
#include "routing/target_state.h"

namespace redwing {

namespace {

size_t RandomIndex(size_t size, std::mt19937_64& random) {
  return std::uniform_int_distribution<size_t>(0, size - 1)(random);
}

// Returns the fraction of the slots in use.
double Load(const TargetState& state, TimePoint now) {
  return state.ExpectedLoad(now) / state.target().slots;
}

class RandomChoice : public TargetChoice {
 public:
  TargetState* Choose(const std::vector<TargetState*>& candidates,
                      const SlotRequest& /*request*/,
                      TimePoint /*now*/,
                      std::mt19937_64& random) const override {
    return candidates[RandomIndex(candidates.size(), random)];
  }
};

class LeastOutstandingChoice : public TargetChoice {
 public:
  TargetState* Choose(const std::vector<TargetState*>& candidates,
                      const SlotRequest& /*request*/,
                      TimePoint now,
                      std::mt19937_64& random) const override {
    // Ties are broken at random, so that instances do not choose in step.
    const size_t start = RandomIndex(candidates.size(), random);
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
                      const SlotRequest& /*request*/,
                      TimePoint now,
                      std::mt19937_64& random) const override {
    TargetState* const a = candidates[RandomIndex(candidates.size(), random)];
    TargetState* const b = candidates[RandomIndex(candidates.size(), random)];
    return Load(*b, now) < Load(*a, now) ? b : a;
  }
};

// Rendezvous hashing over the targets with free slots: a key maps to the same
// target while that has one, otherwise to the next in the key's own order.
// Thaler and Ravishankar 1998.
class AffinityChoice : public TargetChoice {
 public:
  TargetState* Choose(const std::vector<TargetState*>& candidates,
                      const SlotRequest& request,
                      TimePoint now,
                      std::mt19937_64& random) const override {
    if (request.affinity_key.empty()) {
      return without_key_.Choose(candidates, request, now, random);
    }
    return *std::max_element(
        candidates.begin(), candidates.end(),
        [&request](const TargetState* a, const TargetState* b) {
          return Score(request, *a) < Score(request, *b);
        });
  }

 private:
  static uint64_t Score(const SlotRequest& request, const TargetState& state) {
    return Hash64(request.affinity_key + "/" + state.target().name);
  }

  LeastOutstandingChoice without_key_;
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
  if (name == "affinity") {
    return std::make_unique<AffinityChoice>();
  }
  return nullptr;
}

}  // namespace redwing
