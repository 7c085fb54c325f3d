#ifndef REDWING_CONFIG_INTERNAL_SYNC_MESSAGES_H_
#define REDWING_CONFIG_INTERNAL_SYNC_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/state_entry.h"
#include "keys/withdrawal.h"

namespace redwing {

// Requests all entries that are newer than those of the caller.
struct StatePull {
  // Versions of the caller's entries, by name.
  std::map<std::string, StoreVersion> versions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(versions);
  }
};

// Reply to a StatePull.
struct StateReply {
  // Whether the state of the replying instance is complete.
  bool complete = false;
  // Entries that are newer than the requested versions.
  std::vector<StateEntry> entries;
  // All withdrawals that the replying instance knows.
  std::vector<Withdrawal> withdrawn;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(complete, entries, withdrawn);
  }
};

// Announces withdrawn keys, or acknowledges their withdrawal.
struct WithdrawalMessage {
  std::vector<Withdrawal> withdrawals;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(withdrawals);
  }
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_SYNC_MESSAGES_H_
