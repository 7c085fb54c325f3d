#include "routing/target_lease.h"

namespace redwing {

TargetLease::TargetLease(std::shared_ptr<TargetState> state, EndFunction on_end)
    : state_(std::move(state)),
      on_end_(std::move(on_end)),
      begun_(Clock::now()) {}

void TargetLease::SetLoad(const TargetLoad& load) {
  state_->SetLoad(load, Clock::now());
}

TargetLease::~TargetLease() {
  if (state_) {
    on_end_(state_, outcome_,
            std::chrono::duration_cast<Milliseconds>(Clock::now() - begun_));
  }
}

}  // namespace redwing
