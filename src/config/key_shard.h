#ifndef REDWING_CONFIG_KEY_SHARD_H_
#define REDWING_CONFIG_KEY_SHARD_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "keys/key_record.h"
#include "keys/withdrawal.h"

namespace redwing {

// API keys are sharded over store objects by the first character of the key id,
// so that each object stays far below the store's size limit.

// Returns the name of the state entry that contains the key with this id.
std::string KeyShardName(const std::string& key_id);

// Parses the body of a shard, {"records": [...]}. Skips malformed records.
std::vector<KeyRecord> KeyRecordsFromJson(const nlohmann::json& body);
// Returns the body of a shard with these records.
nlohmann::json KeyRecordsToJson(const std::vector<KeyRecord>& records);

// Parses the object of withdrawn keys, {"withdrawals": [...]}. Skips malformed
// items.
std::vector<Withdrawal> WithdrawalsFromJson(const nlohmann::json& spec);
// Returns the object of withdrawn keys with these withdrawals.
nlohmann::json WithdrawalsToJson(const std::vector<Withdrawal>& withdrawals);

}  // namespace redwing

#endif  // REDWING_CONFIG_KEY_SHARD_H_
