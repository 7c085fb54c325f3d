#include "config/key_shard.h"

#include "config/state_entry.h"

namespace redwing {

namespace {
using nlohmann::json;
}  // namespace

std::string KeyShardName(const std::string& key_id) {
  return std::string(kKeysPrefix) + key_id.substr(0, 1);
}

std::vector<KeyRecord> KeyRecordsFromJson(const json& body) {
  std::vector<KeyRecord> records;
  if (!body.is_object() || !body.contains("records")) {
    return records;
  }
  for (const json& item : body.at("records")) {
    try {
      KeyRecord record;
      record.id = item.at("id");
      record.salt = item.value("salt", "");
      record.hash = item.value("hash", "");
      record.workspace = item.value("workspace", "");
      record.operator_name = item.value("operator", "");
      record.sections = item.value("sections", std::vector<std::string>());
      records.push_back(std::move(record));
    } catch (const json::exception&) {
      continue;
    }
  }
  return records;
}

json KeyRecordsToJson(const std::vector<KeyRecord>& records) {
  json items = json::array();
  for (const KeyRecord& record : records) {
    json item = {
        {"id", record.id}, {"salt", record.salt}, {"hash", record.hash}};
    if (!record.workspace.empty()) {
      item["workspace"] = record.workspace;
    }
    if (!record.operator_name.empty()) {
      item["operator"] = record.operator_name;
      item["sections"] = record.sections;
    }
    items.push_back(std::move(item));
  }
  return {{"records", std::move(items)}};
}

std::vector<Withdrawal> WithdrawalsFromJson(const json& spec) {
  std::vector<Withdrawal> withdrawals;
  if (!spec.is_object() || !spec.contains("withdrawals")) {
    return withdrawals;
  }
  for (const json& item : spec.at("withdrawals")) {
    try {
      withdrawals.push_back({item.at("key_id"), item.value("by", ""),
                             item.value("at_ms", int64_t{0})});
    } catch (const json::exception&) {
      continue;
    }
  }
  return withdrawals;
}

json WithdrawalsToJson(const std::vector<Withdrawal>& withdrawals) {
  json items = json::array();
  for (const Withdrawal& withdrawal : withdrawals) {
    items.push_back({{"key_id", withdrawal.key_id},
                     {"by", withdrawal.by},
                     {"at_ms", withdrawal.at_ms}});
  }
  return {{"withdrawals", std::move(items)}};
}

}  // namespace redwing
