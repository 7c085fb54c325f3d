#include "admin/operator_directory.h"

#include <sodium.h>

#include <algorithm>

#include "config/key_shard.h"
#include "config/state_entry.h"
#include "keys/api_key.h"

namespace redwing {

namespace {
constexpr std::string_view kAnySection = "*";
constexpr std::string_view kRootName = "root";
}  // namespace

bool Operator::MayEdit(std::string_view section) const {
  return std::any_of(sections.begin(), sections.end(),
                     [section](const std::string& s) {
                       return s == kAnySection || s == section;
                     });
}

Result<Operator> OperatorDirectory::Authenticate(std::string_view key,
                                                 const Yield& yield) {
  if (!root_key_.empty() && key.size() == root_key_.size() &&
      sodium_memcmp(key.data(), root_key_.data(), key.size()) == 0) {
    return Operator{std::string(kRootName), {std::string(kAnySection)}};
  }
  const std::optional<ApiKey> parsed = ApiKey::Parse(key);
  if (!parsed) {
    return NotRun(Errc::kUnknownKey, "no operator's key was given");
  }
  const Result<StoredObject> withdrawn = store_->Get(
      std::string(kStateKind), std::string(kWithdrawalsName), yield);
  if (!withdrawn && withdrawn.error().errc != Errc::kNotFound) {
    return withdrawn.error();
  }
  const Result<StoredObject> shard =
      store_->Get(std::string(kStateKind), KeyShardName(parsed->id), yield);
  if (!shard) {
    return shard.error().errc == Errc::kNotFound
               ? NotRun(Errc::kUnknownKey, "the key is not known")
               : shard.error();
  }
  for (const KeyRecord& record :
       KeyRecordsFromJson(shard.value().spec.value("body", nlohmann::json()))) {
    if (record.id != parsed->id || record.operator_name.empty() ||
        !parsed->Matches(record)) {
      continue;
    }
    const std::vector<Withdrawal> withdrawals =
        withdrawn ? WithdrawalsFromJson(withdrawn.value().spec)
                  : std::vector<Withdrawal>();
    const bool gone = std::any_of(
        withdrawals.begin(), withdrawals.end(),
        [&record](const Withdrawal& w) { return w.key_id == record.id; });
    if (gone) {
      return NotRun(Errc::kKeyWithdrawn, "the key was withdrawn");
    }
    return Operator{record.operator_name, record.sections};
  }
  return NotRun(Errc::kUnknownKey, "the key is not known");
}

}  // namespace redwing
