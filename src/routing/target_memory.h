#ifndef REDWING_ROUTING_TARGET_MEMORY_H_
#define REDWING_ROUTING_TARGET_MEMORY_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <unordered_map>

#include "framework/kernel/clock.h"
#include "membership/target_start.h"

namespace redwing {

// What starts of targets have said of themselves. It outlives the targets'
// entries in the platform's list, which may be missing for a while or be older
// than what was said, and ends with a later start of the target.
template <typename Value>
class TargetMemory {
 public:
  // Most targets remembered; beyond it, what was said first is forgotten.
  static constexpr size_t kMost = 16'384;
  // A target that is not listed for so long does not come back by the same
  // start.
  static constexpr std::chrono::minutes kKeptUnlisted{10};

  // Returns what was said by the given start or a later one; null when nothing
  // was.
  const Value* Find(const TargetStart& target) const {
    const auto found = records_.find(target.name_hash);
    return found == records_.end() ||
                   found->second.started_at < target.started_at
               ? nullptr
               : &found->second.value;
  }

  // Returns what the given start has said, a new value when it has said nothing
  // yet; null when a later start is remembered.
  Value* Change(const TargetStart& target, TimePoint now) {
    if (records_.size() >= kMost && records_.count(target.name_hash) == 0) {
      ForgetFirst();
    }
    Record& record = records_[target.name_hash];
    if (record.started_at > target.started_at) {
      return nullptr;
    }
    if (record.started_at < target.started_at) {
      record = Record();
      record.started_at = target.started_at;
    }
    record.said_at = now;
    record.listed_at = now;
    return &record.value;
  }

  // Forgets targets that `is_listed`, by hash of the name, has not named for
  // long; at once where their start is not known, since being listed anew is
  // then all that tells of a new one.
  void Retain(const std::function<bool(uint64_t)>& is_listed, TimePoint now) {
    for (auto record = records_.begin(); record != records_.end();) {
      Record& known = record->second;
      const bool listed = is_listed(record->first);
      if (listed) {
        known.listed_at = now;
      }
      const bool forget = !listed && (known.started_at == 0 ||
                                      now - known.listed_at > kKeptUnlisted);
      record = forget ? records_.erase(record) : std::next(record);
    }
  }

  bool empty() const { return records_.empty(); }

 private:
  struct Record {
    uint64_t started_at = 0;
    TimePoint said_at;
    TimePoint listed_at;
    Value value{};
  };

  void ForgetFirst() {
    const auto first = std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.said_at < b.second.said_at;
        });
    records_.erase(first);
  }

  // By hash of the target's name.
  std::unordered_map<uint64_t, Record> records_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_MEMORY_H_
