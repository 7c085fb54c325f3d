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

// Local copy of the state that is replicated to every instance: sections, API
// keys, drains and the platform's list of instances. The revision of an entry
// never decreases.
class ReplicatedState {
 public:
  static constexpr std::string_view kServiceName = "replicated_state";

  using EntryMap = std::map<std::string, StateEntry, std::less<>>;
  using RevisionMap = std::map<std::string, uint64_t>;

  explicit ReplicatedState(Metrics& metrics) : metrics_(metrics) {}

  // Stores the entry if its revision is higher than that of the local entry of
  // the same name, or if there is none. Returns whether the entry was stored.
  bool Apply(const StateEntry& entry);

  // Returns nullptr if there is no entry of this name.
  const StateEntry* Find(std::string_view name) const;
  const EntryMap& entries() const { return entries_; }
  // Returns the revision of every entry by the name of the entry.
  RevisionMap Revisions() const;
  // Returns the entries that have a higher revision than the given one or are
  // absent from `revisions`.
  std::vector<StateEntry> NewerThan(const RevisionMap& revisions) const;
  // Hash of all names and revisions. Equal on instances with equal state.
  uint64_t digest() const { return digest_; }
  // Sum of all revisions. Increases with each entry that is applied.
  uint64_t revision_sum() const { return revision_sum_; }

  // Returns whether the complete state was read from the store, or from a peer
  // whose state is complete. An instance serves no requests before that.
  bool complete() const { return complete_; }
  void MarkComplete();

  // Notifies subscribers of each entry that was stored.
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
