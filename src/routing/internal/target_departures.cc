#include "routing/target_departures.h"

#include <algorithm>

namespace redwing {

bool TargetDepartures::RecordFromResponse(const TargetStart& target,
                                          TimePoint now) {
  if (!Record(target, now)) {
    return false;
  }
  announced_.push_back({target, now});
  return true;
}

bool TargetDepartures::RecordFromPeer(const TargetStart& target,
                                      TimePoint now) {
  return Record(target, now);
}

bool TargetDepartures::Record(const TargetStart& target, TimePoint now) {
  bool* const left = left_.FindOrCreate(target, now);
  if (left == nullptr || *left) {
    return false;
  }
  *left = true;
  return true;
}

bool TargetDepartures::HasLeft(const TargetStart& target) const {
  return left_.Find(target) != nullptr;
}

std::vector<TargetStart> TargetDepartures::NextToAnnounce(TimePoint now) {
  while (!announced_.empty() && now - announced_.front().since > kAnnounceFor) {
    announced_.pop_front();
  }
  std::vector<TargetStart> next;
  next.reserve(std::min(announced_.size(), kMaxPerMessage));
  while (next.size() < std::min(announced_.size(), kMaxPerMessage)) {
    next_announced_ = (next_announced_ + 1) % announced_.size();
    next.push_back(announced_[next_announced_].target);
  }
  return next;
}

void TargetDepartures::Retain(const std::function<bool(uint64_t)>& is_listed,
                              TimePoint now) {
  left_.Retain(is_listed, now);
}

}  // namespace redwing
