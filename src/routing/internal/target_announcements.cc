#include "routing/target_announcements.h"

#include <algorithm>

namespace redwing {

void TargetAnnouncements::Add(const TargetStart& target, TimePoint now) {
  const auto known = std::find_if(announced_.begin(), announced_.end(),
                                  [&target](const Announced& announced) {
                                    return announced.target == target;
                                  });
  if (known != announced_.end()) {
    announced_.erase(known);
  }
  announced_.push_back({target, now});
}

std::vector<TargetStart> TargetAnnouncements::Next(TimePoint now) {
  while (!announced_.empty() && now - announced_.front().since > kAnnounceFor) {
    announced_.pop_front();
  }
  std::vector<TargetStart> next;
  next.reserve(std::min(announced_.size(), kMaxPerMessage));
  while (next.size() < std::min(announced_.size(), kMaxPerMessage)) {
    next_ = (next_ + 1) % announced_.size();
    next.push_back(announced_[next_].target);
  }
  return next;
}

}  // namespace redwing
