#ifndef REDWING_FRAMEWORK_HTTP_CONTENT_DIGEST_H_
#define REDWING_FRAMEWORK_HTTP_CONTENT_DIGEST_H_

#include <sodium.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace redwing {

// Checks a body against the Content-Digest field of its message (RFC 9530), as
// far as that names a SHA-256 digest.
class ContentDigest {
 public:
  static constexpr std::string_view kField = "Content-Digest";

  // Returns nothing when the field names no SHA-256 digest.
  static std::optional<ContentDigest> Parse(std::string_view field);

  // Takes the next piece of the body.
  void Add(std::string_view piece);
  // Returns whether the pieces are the body that the field names. Called once,
  // after the last piece.
  bool Matches();

 private:
  using Hash = std::array<unsigned char, crypto_hash_sha256_BYTES>;

  Hash expected_{};
  crypto_hash_sha256_state state_{};
};

// Returns the field's value for a body.
std::string ContentDigestOf(std::string_view body);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_CONTENT_DIGEST_H_
