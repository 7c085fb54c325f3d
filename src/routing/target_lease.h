#ifndef REDWING_ROUTING_TARGET_LEASE_H_
#define REDWING_ROUTING_TARGET_LEASE_H_

#include <functional>
#include <memory>

#include "routing/target_load.h"
#include "routing/target_state.h"

namespace redwing {

// A slot of a target, held for one attempt and released on destruction.
class TargetLease {
 public:
  using EndFunction = std::function<
      void(const std::shared_ptr<TargetState>&, AttemptOutcome, Milliseconds)>;

  TargetLease(std::shared_ptr<TargetState> state, EndFunction on_end);
  ~TargetLease();
  TargetLease(TargetLease&& other) noexcept = default;
  TargetLease& operator=(TargetLease&& other) = delete;

  const TargetState& state() const { return *state_; }
  void SetOutcome(AttemptOutcome outcome) { outcome_ = outcome; }
  // Records the load that the target reported in its response.
  void SetLoad(const TargetLoad& load);

 private:
  std::shared_ptr<TargetState> state_;
  EndFunction on_end_;
  TimePoint begun_;
  AttemptOutcome outcome_ = AttemptOutcome::kCancelled;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_LEASE_H_
