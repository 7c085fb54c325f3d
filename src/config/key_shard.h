#ifndef REDWING_CONFIG_KEY_SHARD_H_
#define REDWING_CONFIG_KEY_SHARD_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "keys/key_record.h"
#include "keys/withdrawal.h"

namespace redwing {

// Keys are spread over objects by the first digit of their id, so that each
// stays far below the store's size limit.

// Returns the name of the state entry that holds a key id.
std::string KeyShardName(const std::string& key_id);

// Converts the body of a shard: {"records": [...]}. Ill-formed records are
// left out.
std::vector<KeyRecord> KeyRecordsFromJson(const nlohmann::json& body);
nlohmann::json KeyRecordsToJson(const std::vector<KeyRecord>& records);

// Converts the object of withdrawals: {"withdrawals": [...]}.
std::vector<Withdrawal> WithdrawalsFromJson(const nlohmann::json& spec);
nlohmann::json WithdrawalsToJson(const std::vector<Withdrawal>& withdrawals);

}  // namespace redwing

#endif  // REDWING_CONFIG_KEY_SHARD_H_
