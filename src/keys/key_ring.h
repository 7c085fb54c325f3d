#ifndef REDWING_KEYS_KEY_RING_H_
#define REDWING_KEYS_KEY_RING_H_

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "framework/errors/result.h"
#include "keys/key_record.h"
#include "keys/withdrawal.h"

namespace redwing {

// Records of the issued API keys and the set of withdrawn keys. Withdrawals are
// never removed and are merged as sets, so they can arrive in any order and
// more than once.
class KeyRing {
 public:
  static constexpr std::string_view kServiceName = "key_ring";

  // Replaces all records of a shard.
  void SetShard(const std::string& shard, std::vector<KeyRecord> records);

  // Adds withdrawals; returns true if any of them was new.
  bool Withdraw(const std::vector<Withdrawal>& withdrawals);
  bool IsWithdrawn(const std::string& id) const {
    return withdrawn_.count(id) > 0;
  }
  size_t withdrawn_count() const { return withdrawn_.size(); }
  std::vector<Withdrawal> Withdrawals() const;
  // Returns a hash of the set of withdrawn ids, equal on instances with equal
  // sets.
  uint64_t withdrawn_hash() const { return withdrawn_hash_; }

  // Returns the record of a key, given its text. Fails with kUnknownKey or
  // kKeyWithdrawn, both with the verdict kNotRun.
  Result<const KeyRecord*> Check(std::string_view key_text) const;

 private:
  std::map<std::string, std::vector<std::string>> shard_ids_;
  std::unordered_map<std::string, KeyRecord> records_;
  std::map<std::string, Withdrawal> withdrawn_;
  uint64_t withdrawn_hash_ = 0;
};

}  // namespace redwing

#endif  // REDWING_KEYS_KEY_RING_H_
