#include "admin/audit_record.h"

#include <fmt/format.h>

#include "framework/wire/digest.h"

namespace redwing {

namespace {
using nlohmann::json;

constexpr std::string_view kHashDomain = "redwing-audit-record";
}  // namespace

std::string AuditRecord::ComputeHash() const {
  json value = ToJson();
  value.erase("hash");
  return ToHex(KeyedDigest(kHashDomain, value.dump()));
}

json AuditRecord::ToJson() const {
  return {{"change_id", change_id},
          {"who", who},
          {"action", action},
          {"at_ms", at_ms},
          {"entry", entry},
          {"from_revision", from_revision},
          {"to_revision", to_revision},
          {"forced", forced},
          {"previous_hash", previous_hash},
          {"hash", hash}};
}

AuditRecord AuditRecord::FromJson(const json& value) {
  AuditRecord record;
  value.at("change_id").get_to(record.change_id);
  value.at("who").get_to(record.who);
  value.at("action").get_to(record.action);
  value.at("at_ms").get_to(record.at_ms);
  value.at("entry").get_to(record.entry);
  value.at("from_revision").get_to(record.from_revision);
  value.at("to_revision").get_to(record.to_revision);
  value.at("forced").get_to(record.forced);
  value.at("previous_hash").get_to(record.previous_hash);
  value.at("hash").get_to(record.hash);
  return record;
}

std::vector<std::string> FindAuditProblems(
    const std::vector<AuditRecord>& records) {
  std::vector<std::string> problems;
  std::string previous_hash;
  uint64_t previous_revision = 0;
  for (const AuditRecord& record : records) {
    const std::string name =
        fmt::format("{} revision {}", record.entry, record.to_revision);
    if (record.hash != record.ComputeHash()) {
      problems.push_back(name + ": the record was altered");
    }
    if (record.previous_hash != previous_hash) {
      problems.push_back(name + ": the chain is broken before this record");
    }
    if (record.from_revision != previous_revision ||
        record.to_revision != previous_revision + 1) {
      problems.push_back(name + ": a revision is missing before this record");
    }
    previous_hash = record.hash;
    previous_revision = record.to_revision;
  }
  return problems;
}

}  // namespace redwing
