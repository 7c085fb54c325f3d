#include "framework/wire/digest.h"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>
#include <vector>

namespace redwing {

namespace {

std::string HexOf(const uint8_t* bytes, size_t size) {
  std::string text(size * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes, size);
  text.pop_back();
  return text;
}

}  // namespace

Digest KeyedDigest(std::string_view secret, std::string_view text) {
  Digest digest{};
  const size_t key_size =
      std::min<size_t>(secret.size(), crypto_generichash_KEYBYTES_MAX);
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const uint8_t*>(text.data()), text.size(),
                     reinterpret_cast<const uint8_t*>(secret.data()), key_size);
  return digest;
}

bool DigestsEqual(const Digest& a, const Digest& b) {
  return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string ToHex(const Digest& digest) {
  return HexOf(digest.data(), digest.size());
}

std::string RandomHex(size_t bytes) {
  std::vector<uint8_t> buffer(bytes);
  randombytes_buf(buffer.data(), buffer.size());
  return HexOf(buffer.data(), buffer.size());
}

uint64_t Hash64(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

uint64_t HashOfTwo(uint64_t first, uint64_t second) {
  const std::array<uint64_t, 2> both = {first, second};
  return XXH3_64bits(both.data(), sizeof(both));
}

}  // namespace redwing
