#ifndef REDWING_CONFIG_INTERNAL_SYNC_MESSAGES_H_
#define REDWING_CONFIG_INTERNAL_SYNC_MESSAGES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/state_entry.h"
#include "keys/withdrawal.h"

namespace redwing {

// Asks a peer for every entry newer than what the caller holds.
struct StatePull {
  std::map<std::string, uint64_t> revisions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revisions);
  }
};

struct StateReply {
  bool complete = false;
  std::vector<StateEntry> entries;
  std::vector<Withdrawal> withdrawn;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(complete, entries, withdrawn);
  }
};

// Tells of withdrawn keys, or acknowledges that they are withdrawn.
struct WithdrawalMessage {
  std::vector<Withdrawal> withdrawals;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(withdrawals);
  }
};

}  // namespace redwing

#endif  // REDWING_CONFIG_INTERNAL_SYNC_MESSAGES_H_
