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

// Values reported by starts of targets. A value outlives the target's entry in
// the platform's list, which may be missing for a while or be older than the
// report; a later start of the target replaces it.
template <typename Value>
class TargetMemory {
 public:
  // Upper bound on the number of targets; beyond it, the least recently updated
  // record is evicted.
  static constexpr size_t kMaxTargets = 16'384;
  // Retention period of targets that are not listed; after it, a target is
  // assumed not to return with the same start.
  static constexpr std::chrono::minutes kUnlistedRetention{10};

  // Returns the value of the given start or a later one; null if there is none.
  const Value* Find(const TargetStart& target) const {
    const auto found = records_.find(target.name_hash);
    return found == records_.end() ||
                   found->second.started_at < target.started_at
               ? nullptr
               : &found->second.value;
  }

  // Returns the value of the given start, creating it if there is none; null if
  // a later start is known.
  Value* FindOrCreate(const TargetStart& target, TimePoint now) {
    if (records_.size() >= kMaxTargets &&
        records_.count(target.name_hash) == 0) {
      EvictOldest();
    }
    Record& record = records_[target.name_hash];
    if (record.started_at > target.started_at) {
      return nullptr;
    }
    if (record.started_at < target.started_at) {
      record = Record();
      record.started_at = target.started_at;
    }
    record.updated_at = now;
    record.listed_at = now;
    return &record.value;
  }

  // Evicts targets that `is_listed`, called with the hash of the name, has
  // reported as unlisted for longer than kUnlistedRetention. Targets whose
  // start is unknown are evicted at once, since a new listing is the only sign
  // of a new start.
  void Retain(const std::function<bool(uint64_t)>& is_listed, TimePoint now) {
    for (auto record = records_.begin(); record != records_.end();) {
      Record& known = record->second;
      const bool listed = is_listed(record->first);
      if (listed) {
        known.listed_at = now;
      }
      const bool forget =
          !listed &&
          (known.started_at == 0 || now - known.listed_at > kUnlistedRetention);
      record = forget ? records_.erase(record) : std::next(record);
    }
  }

  bool empty() const { return records_.empty(); }

 private:
  struct Record {
    uint64_t started_at = 0;
    TimePoint updated_at;
    TimePoint listed_at;
    Value value{};
  };

  void EvictOldest() {
    const auto first = std::min_element(
        records_.begin(), records_.end(), [](const auto& a, const auto& b) {
          return a.second.updated_at < b.second.updated_at;
        });
    records_.erase(first);
  }

  // By hash of the target's name.
  std::unordered_map<uint64_t, Record> records_;
};

}  // namespace redwing

#endif  // REDWING_ROUTING_TARGET_MEMORY_H_
