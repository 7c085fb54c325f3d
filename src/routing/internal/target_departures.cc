#include "routing/target_departures.h"

namespace redwing {

bool TargetDepartures::RecordFromResponse(const TargetStart& target,
                                          TimePoint now) {
  if (!Record(target, now)) {
    return false;
  }
  announced_.Add(target, now);
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
  return announced_.Next(now);
}

void TargetDepartures::Retain(const std::function<bool(uint64_t)>& is_listed,
                              TimePoint now) {
  left_.Retain(is_listed, now);
}

}  // namespace redwing
