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
      record.salt = item.at("salt");
      record.hash = item.at("hash");
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

}  // namespace redwing
