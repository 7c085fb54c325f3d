#include "keys/key_ring.h"

#include "framework/wire/digest.h"
#include "keys/api_key.h"

namespace redwing {

void KeyRing::SetShard(const std::string& shard,
                       std::vector<KeyRecord> records) {
  std::vector<std::string>& ids = shard_ids_[shard];
  for (const std::string& id : ids) {
    records_.erase(id);
  }
  ids.clear();
  for (KeyRecord& record : records) {
    ids.push_back(record.id);
    records_.insert_or_assign(record.id, std::move(record));
  }
}

bool KeyRing::Withdraw(const std::vector<Withdrawal>& withdrawals) {
  bool added = false;
  for (const Withdrawal& withdrawal : withdrawals) {
    if (withdrawn_.emplace(withdrawal.key_id, withdrawal).second) {
      // Exclusive or makes the hash independent of the order of arrival.
      withdrawn_hash_ ^= Hash64(withdrawal.key_id);
      added = true;
    }
  }
  return added;
}

std::vector<Withdrawal> KeyRing::Withdrawals() const {
  std::vector<Withdrawal> list;
  list.reserve(withdrawn_.size());
  for (const auto& [id, withdrawal] : withdrawn_) {
    list.push_back(withdrawal);
  }
  return list;
}

Result<const KeyRecord*> KeyRing::Check(std::string_view key_text) const {
  const std::optional<ApiKey> key = ApiKey::Parse(key_text);
  const std::string id = key ? key->id : OpaqueKeyId(key_text);
  const auto record = records_.find(id);
  const bool matches =
      record != records_.end() &&
      (key ? key->Matches(record->second) : record->second.opaque());
  if (!matches) {
    return NotRun(Errc::kUnknownKey, "the key is not known");
  }
  if (IsWithdrawn(id)) {
    return NotRun(Errc::kKeyWithdrawn, "the key was withdrawn");
  }
  return &record->second;
}

}  // namespace redwing
