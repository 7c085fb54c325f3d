#include "admin/audit_record.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

std::vector<AuditRecord> MakeChain(int count) {
  std::vector<AuditRecord> records;
  for (int i = 0; i < count; ++i) {
    AuditRecord record;
    record.change_id = std::to_string(i);
    record.who = "op";
    record.entry = "section.a";
    record.from_revision = static_cast<uint64_t>(i);
    record.to_revision = static_cast<uint64_t>(i) + 1;
    record.previous_hash = records.empty() ? "" : records.back().hash;
    record.hash = record.ComputeHash();
    records.push_back(record);
  }
  return records;
}

TEST_CASE("a whole chain verifies, an altered or gapped one does not") {
  std::vector<AuditRecord> records = MakeChain(5);
  CHECK(FindAuditProblems(records).empty());
  SECTION("altered") {
    records[2].who = "another";
    CHECK(FindAuditProblems(records).size() == 1);
  }
  SECTION("a record is missing") {
    records.erase(records.begin() + 2);
    CHECK(FindAuditProblems(records).size() == 2);
  }
  SECTION("the first record is missing") {
    records.erase(records.begin());
    CHECK(FindAuditProblems(records).size() == 2);
  }
}

}  // namespace
}  // namespace redwing
