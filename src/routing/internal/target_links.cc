#include "routing/target_links.h"

namespace redwing {

bool TargetLinks::IsCheckDue(TimePoint now) const {
  return (suspected_ || !up_) && !checking_ &&
         now - checked_at_ >= kCheckInterval;
}

void TargetLinks::BeginCheck(TimePoint now) {
  checking_ = true;
  suspected_ = false;
  checked_at_ = now;
}

bool TargetLinks::EndCheck(size_t reached) {
  checking_ = false;
  const bool was_up = up_;
  up_ = reached > 0;
  return up_ != was_up;
}

}  // namespace redwing
