#ifndef REDWING_FRAMEWORK_WIRE_DIGEST_H_
#define REDWING_FRAMEWORK_WIRE_DIGEST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace redwing {

constexpr size_t kDigestBytes = 16;
using Digest = std::array<uint8_t, kDigestBytes>;

// Computes the BLAKE2b digest of a text, keyed with a secret of up to 64
// bytes.
Digest KeyedDigest(std::string_view secret, std::string_view text);

// Compares in constant time.
bool DigestsEqual(const Digest& a, const Digest& b);

std::string ToHex(const Digest& digest);

// Returns `bytes` random bytes from the system's generator, as hexadecimal.
std::string RandomHex(size_t bytes);

// Computes the XXH3 hash of a text; not for authentication.
uint64_t Hash64(std::string_view text);
// Computes the XXH3 hash of two hashes.
uint64_t HashOfTwo(uint64_t first, uint64_t second);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_WIRE_DIGEST_H_
