#include "routing/target_backoffs.h"

#include <algorithm>

namespace redwing {

TimePoint TargetBackoffs::Record(const TargetStart& target,
                                 Milliseconds asked,
                                 TimePoint now) {
  TimePoint* const end = ends_.FindOrCreate(target, now);
  if (end == nullptr) {
    return {};
  }
  *end = std::max<TimePoint>(*end, now + asked);
  return *end;
}

TimePoint TargetBackoffs::EndOf(const TargetStart& target) const {
  const TimePoint* const end = ends_.Find(target);
  return end == nullptr ? TimePoint() : *end;
}

void TargetBackoffs::Retain(const std::function<bool(uint64_t)>& is_listed,
                            TimePoint now) {
  ends_.Retain(is_listed, now);
}

}  // namespace redwing
