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

std::vector<std::string> KeyRing::Withdraw(
    const std::vector<std::string>& ids) {
  std::vector<std::string> fresh;
  for (const std::string& id : ids) {
    if (withdrawn_.insert(id).second) {
      // Exclusive or makes the hash independent of the order.
      withdrawn_hash_ ^= Hash64(id);
      fresh.push_back(id);
    }
  }
  return fresh;
}

Result<const KeyRecord*> KeyRing::Check(std::string_view key_text) const {
  const std::optional<ApiKey> key = ApiKey::Parse(key_text);
  if (!key) {
    return NotRun(Errc::kUnknownKey, "the key is not known");
  }
  const auto record = records_.find(key->id);
  if (record == records_.end() || !key->Matches(record->second)) {
    return NotRun(Errc::kUnknownKey, "the key is not known");
  }
  if (IsWithdrawn(key->id)) {
    return NotRun(Errc::kKeyWithdrawn, "the key was withdrawn");
  }
  return &record->second;
}

}  // namespace redwing
