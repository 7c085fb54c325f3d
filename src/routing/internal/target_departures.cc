#include "routing/target_departures.h"

#include <algorithm>

namespace redwing {

bool TargetDepartures::NoteAnswer(const TargetStart& target, TimePoint now) {
  if (!Note(target, now)) {
    return false;
  }
  told_.push_back({target, now});
  return true;
}

bool TargetDepartures::NotePeer(const TargetStart& target, TimePoint now) {
  return Note(target, now);
}

bool TargetDepartures::Note(const TargetStart& target, TimePoint now) {
  bool* const left = left_.Change(target, now);
  if (left == nullptr || *left) {
    return false;
  }
  *left = true;
  return true;
}

bool TargetDepartures::HasLeft(const TargetStart& target) const {
  return left_.Find(target) != nullptr;
}

std::vector<TargetStart> TargetDepartures::NextToTell(TimePoint now) {
  while (!told_.empty() && now - told_.front().since > kToldFor) {
    told_.pop_front();
  }
  std::vector<TargetStart> next;
  next.reserve(std::min(told_.size(), kToldAtOnce));
  while (next.size() < std::min(told_.size(), kToldAtOnce)) {
    next_told_ = (next_told_ + 1) % told_.size();
    next.push_back(told_[next_told_].target);
  }
  return next;
}

void TargetDepartures::Retain(const std::function<bool(uint64_t)>& is_listed,
                              TimePoint now) {
  left_.Retain(is_listed, now);
}

}  // namespace redwing
