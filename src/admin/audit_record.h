#ifndef REDWING_ADMIN_AUDIT_RECORD_H_
#define REDWING_ADMIN_AUDIT_RECORD_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace redwing {

// One accepted change of one state entry. Records of an entry form a chain:
// each carries the hash of the one before.
struct AuditRecord {
  std::string change_id;
  std::string who;
  // What was done, for example "apply" or "issue key 12ab".
  std::string action;
  // Wall clock, milliseconds since the epoch; for people only.
  int64_t at_ms = 0;
  std::string entry;
  uint64_t from_revision = 0;
  uint64_t to_revision = 0;
  bool forced = false;
  std::string previous_hash;
  std::string hash;

  // Computes the hash over all other fields.
  std::string ComputeHash() const;

  nlohmann::json ToJson() const;
  // Throws nlohmann::json::exception when a field is missing.
  static AuditRecord FromJson(const nlohmann::json& value);
};

// Checks a chain from its first record: hashes, links, and that no revision is
// missing. Returns the problems found.
std::vector<std::string> FindAuditProblems(
    const std::vector<AuditRecord>& records);

}  // namespace redwing

#endif  // REDWING_ADMIN_AUDIT_RECORD_H_
