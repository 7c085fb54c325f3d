#ifndef REDWING_FRAMEWORK_WIRE_ENVELOPE_CODEC_H_
#define REDWING_FRAMEWORK_WIRE_ENVELOPE_CODEC_H_

#include <string>
#include <string_view>
#include <vector>

#include "framework/errors/result.h"
#include "framework/wire/envelope.h"

namespace redwing {

// Encodes envelopes as: version (1 byte), keyed digest (16 bytes), cereal
// portable binary. Signs with the first secret and accepts any of them, so
// that secrets can be rotated.
class EnvelopeCodec {
 public:
  static constexpr char kVersion = 1;
  static constexpr size_t kMaxBytes = 4 * 1024 * 1024;

  explicit EnvelopeCodec(std::vector<std::string> secrets)
      : secrets_(std::move(secrets)) {}

  std::string Encode(const Envelope& envelope) const;

  // Fails with kBadMessage for foreign, mutated or oversized bytes. The digest
  // is checked before anything is decoded.
  Result<Envelope> Decode(std::string_view bytes) const;

 private:
  std::vector<std::string> secrets_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_WIRE_ENVELOPE_CODEC_H_
