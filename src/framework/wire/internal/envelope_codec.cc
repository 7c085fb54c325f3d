#include "framework/wire/envelope_codec.h"

#include <algorithm>

#include "framework/wire/digest.h"
#include "framework/wire/payload.h"

namespace redwing {

namespace {
constexpr size_t kHeaderBytes = 1 + kDigestBytes;
}  // namespace

template <typename Archive>
void serialize(Archive& archive, Envelope& envelope) {
  archive(envelope.sender, envelope.incarnation, envelope.sequence,
          envelope.kind, envelope.payload);
}

std::string EnvelopeCodec::Encode(const Envelope& envelope) const {
  const std::string body = EncodePayload(envelope);
  const Digest digest = KeyedDigest(secrets_.front(), body);
  std::string bytes(1, kVersion);
  bytes.append(reinterpret_cast<const char*>(digest.data()), digest.size());
  bytes += body;
  return bytes;
}

Result<Envelope> EnvelopeCodec::Decode(std::string_view bytes) const {
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxBytes ||
      bytes[0] != kVersion) {
    return NotRun(Errc::kBadMessage, "size or version");
  }
  Digest digest{};
  std::copy_n(bytes.begin() + 1, kDigestBytes, digest.begin());
  const std::string body(bytes.substr(kHeaderBytes));
  const bool genuine = std::any_of(
      secrets_.begin(), secrets_.end(), [&](const std::string& secret) {
        return DigestsEqual(digest, KeyedDigest(secret, body));
      });
  if (!genuine) {
    return NotRun(Errc::kBadMessage, "digest");
  }
  return DecodePayload<Envelope>(body);
}

}  // namespace redwing
