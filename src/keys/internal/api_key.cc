#include "keys/api_key.h"

#include <sodium.h>

#include <algorithm>

#include "framework/wire/digest.h"

namespace redwing {

namespace {

constexpr std::string_view kPrefix = "rwk_";
// Digest key that separates the ids of opaque keys from other digests.
constexpr std::string_view kOpaqueKeyDomain = "opaque-key";
constexpr size_t kIdBytes = 8;
constexpr size_t kSecretBytes = 24;
constexpr size_t kSaltBytes = 16;

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  });
}

}  // namespace

ApiKey ApiKey::Generate() {
  return {RandomHex(kIdBytes), RandomHex(kSecretBytes)};
}

std::optional<ApiKey> ApiKey::Parse(std::string_view text) {
  constexpr size_t kLength =
      kPrefix.size() + kIdBytes * 2 + 1 + kSecretBytes * 2;
  if (text.size() != kLength || text.substr(0, kPrefix.size()) != kPrefix) {
    return std::nullopt;
  }
  const std::string_view id = text.substr(kPrefix.size(), kIdBytes * 2);
  const std::string_view secret = text.substr(kLength - kSecretBytes * 2);
  if (text[kPrefix.size() + id.size()] != '_' || !IsHex(id) || !IsHex(secret)) {
    return std::nullopt;
  }
  return ApiKey{std::string(id), std::string(secret)};
}

std::string ApiKey::Text() const {
  return std::string(kPrefix) + id + "_" + secret;
}

void ApiKey::FillRecord(KeyRecord* record) const {
  record->id = id;
  record->salt = RandomHex(kSaltBytes);
  record->hash = ToHex(KeyedDigest(record->salt, secret));
}

bool ApiKey::Matches(const KeyRecord& record) const {
  const std::string hash = ToHex(KeyedDigest(record.salt, secret));
  return hash.size() == record.hash.size() &&
         sodium_memcmp(hash.data(), record.hash.data(), hash.size()) == 0;
}

std::string OpaqueKeyId(std::string_view text) {
  return ToHex(KeyedDigest(std::string(kOpaqueKeyDomain), std::string(text)));
}

}  // namespace redwing
