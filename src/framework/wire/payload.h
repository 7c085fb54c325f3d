#ifndef REDWING_FRAMEWORK_WIRE_PAYLOAD_H_
#define REDWING_FRAMEWORK_WIRE_PAYLOAD_H_

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <string>
#include <type_traits>

#include "framework/errors/result.h"
#include "framework/wire/bounded_input_archive.h"

namespace redwing {

// Encodes or decodes a field that was appended to a message. It stays as it is
// if the message is from an older version, which ends before the field.
template <typename Archive, typename Field>
void ArchiveAppended(Archive& archive, Field& field) {
  if constexpr (std::is_same_v<Archive, BoundedInputArchive>) {
    if (archive.left() == 0) {
      return;
    }
  }
  archive(field);
}

// Encodes a message struct with a cereal serialize() member.
template <typename Message>
std::string EncodePayload(const Message& message) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
  return stream.str();
}

// Decodes what EncodePayload() wrote. Bytes after the message are allowed, so
// that newer versions can append fields.
template <typename Message>
Result<Message> DecodePayload(const std::string& bytes) {
  try {
    BoundedInputArchive archive(bytes);
    Message message;
    archive(message);
    return message;
  } catch (const std::exception& exception) {
    return NotRun(Errc::kBadMessage, exception.what());
  }
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_WIRE_PAYLOAD_H_
