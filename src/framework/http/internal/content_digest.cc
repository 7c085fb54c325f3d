#include "framework/http/content_digest.h"

#include <fmt/format.h>

namespace redwing {

namespace {
constexpr std::string_view kAlgorithm = "sha-256=:";

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}
}  // namespace

std::optional<ContentDigest> ContentDigest::Parse(std::string_view field) {
  const size_t begin = field.find(kAlgorithm);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  field.remove_prefix(begin + kAlgorithm.size());
  const size_t end = field.find(':');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  ContentDigest digest;
  size_t size = 0;
  const int decoded = sodium_base642bin(
      digest.expected_.data(), digest.expected_.size(), field.data(), end,
      /*ignore=*/nullptr, &size, /*b64_end=*/nullptr,
      sodium_base64_VARIANT_ORIGINAL);
  if (decoded != 0 || size != digest.expected_.size()) {
    return std::nullopt;
  }
  crypto_hash_sha256_init(&digest.state_);
  return digest;
}

void ContentDigest::Add(std::string_view piece) {
  crypto_hash_sha256_update(&state_, Bytes(piece), piece.size());
}

bool ContentDigest::Matches() {
  Hash actual{};
  crypto_hash_sha256_final(&state_, actual.data());
  return actual == expected_;
}

std::string ContentDigestOf(std::string_view body) {
  std::array<unsigned char, crypto_hash_sha256_BYTES> hash{};
  crypto_hash_sha256(hash.data(), Bytes(body), body.size());
  std::string text(
      sodium_base64_encoded_len(hash.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(text.data(), text.size(), hash.data(), hash.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  // The length counts the closing zero.
  text.pop_back();
  return fmt::format("{}{}:", kAlgorithm, text);
}

}  // namespace redwing
