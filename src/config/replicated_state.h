#ifndef REDWING_CONFIG_REPLICATED_STATE_H_
#define REDWING_CONFIG_REPLICATED_STATE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/state_entry.h"
#include "framework/kernel/channel.h"

namespace redwing {

class Metrics;

// The state that every instance holds a copy of: sections, keys, drains and
// the platform's list. Each entry's revision only ever grows.
class ReplicatedState {
 public:
  static constexpr std::string_view kServiceName = "replicated_state";

  using EntryMap = std::map<std::string, StateEntry, std::less<>>;
  using RevisionMap = std::map<std::string, uint64_t>;

  explicit ReplicatedState(Metrics& metrics) : metrics_(metrics) {}

  // Takes an entry over if its revision is higher than the one held. Returns
  // whether it did.
  bool Apply(const StateEntry& entry);

  // Returns null when no such entry is held.
  const StateEntry* Find(std::string_view name) const;
  const EntryMap& entries() const { return entries_; }
  RevisionMap Revisions() const;
  // Returns the entries that are newer than the given revisions.
  std::vector<StateEntry> NewerThan(const RevisionMap& revisions) const;
  // Hash of all names and revisions, equal on instances with equal state.
  uint64_t digest() const { return digest_; }
  // Sum of all revisions; grows with each entry taken over.
  uint64_t revision_sum() const { return revision_sum_; }

  // An instance serves only once it holds a complete state, from the store or
  // from a peer that is complete.
  bool complete() const { return complete_; }
  void MarkComplete();

  Channel<StateEntry>& on_applied() { return on_applied_; }

 private:
  Metrics& metrics_;
  EntryMap entries_;
  uint64_t digest_ = 0;
  uint64_t revision_sum_ = 0;
  bool complete_ = false;
  Channel<StateEntry> on_applied_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_REPLICATED_STATE_H_
