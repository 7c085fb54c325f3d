#ifndef REDWING_CONFIG_REPLICATED_STATE_H_
#define REDWING_CONFIG_REPLICATED_STATE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "config/restore_hold.h"
#include "config/state_entry.h"
#include "framework/kernel/channel.h"

namespace redwing {

class Metrics;

// Local copy of the state that is replicated to every instance: sections, API
// keys, drains and the platform's list of instances. The version of an entry
// never decreases.
class ReplicatedState {
 public:
  static constexpr std::string_view kServiceName = "replicated_state";

  using EntryMap = std::map<std::string, StateEntry, std::less<>>;
  using VersionMap = std::map<std::string, StoreVersion>;

  explicit ReplicatedState(Metrics& metrics) : metrics_(metrics) {}

  // Stores the entry if its version is higher than that of the local entry of
  // the same name, or if there is none. After a restore of the store, entries
  // that others write again are refused until HoldRemaining() is 0. Returns
  // whether the entry was stored.
  bool Apply(const StateEntry& entry, TimePoint now);

  // Records an era that the store or a peer reported; logs a restore.
  void ObserveEra(uint32_t era, TimePoint now);
  // Returns how long entries of this era are still held back.
  Milliseconds HoldRemaining(uint32_t era, TimePoint now) const {
    return hold_.Remaining(era, now);
  }
  // Highest known era of the store; 0 if none is known.
  uint32_t era() const { return hold_.era(); }

  // Returns nullptr if there is no entry of this name.
  const StateEntry* Find(std::string_view name) const;
  const EntryMap& entries() const { return entries_; }
  // Returns the version of every entry by the name of the entry.
  VersionMap Versions() const;
  // Returns the entries that have a higher version than the given one or are
  // absent from `versions`.
  std::vector<StateEntry> NewerThan(const VersionMap& versions) const;
  // Hash of all names and versions. Equal on instances with equal state.
  uint64_t digest() const { return digest_; }
  // Sum of all packed versions. Increases with each entry that is applied.
  uint64_t version_sum() const { return version_sum_; }

  // Returns whether the complete state was read from the store, or from a peer
  // whose state is complete. An instance serves no requests before that.
  bool complete() const { return complete_; }
  void MarkComplete();

  // Notifies subscribers of each entry that was stored.
  Channel<StateEntry>& on_applied() { return on_applied_; }
  // Notifies subscribers once the state has become complete.
  Channel<>& on_complete() { return on_complete_; }

 private:
  Metrics& metrics_;
  EntryMap entries_;
  uint64_t digest_ = 0;
  uint64_t version_sum_ = 0;
  RestoreHold hold_;
  bool complete_ = false;
  Channel<StateEntry> on_applied_;
  Channel<> on_complete_;
};

}  // namespace redwing

#endif  // REDWING_CONFIG_REPLICATED_STATE_H_
