#ifndef REDWING_FRAMEWORK_WIRE_BOUNDED_INPUT_ARCHIVE_H_
#define REDWING_FRAMEWORK_WIRE_BOUNDED_INPUT_ARCHIVE_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace redwing {

// Reads what cereal's PortableBinaryOutputArchive wrote in little-endian order.
// A container that claims more elements than there are bytes left is refused
// before memory is taken for it. Throws cereal::Exception.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this),
        left_(bytes) {
    char little_endian = 0;
    LoadBytes(&little_endian, 1);
    if (little_endian != 1) {
      throw cereal::Exception("unknown byte order");
    }
  }

  void LoadBytes(void* data, size_t size) {
    if (size > left_.size()) {
      throw cereal::Exception("message is too short");
    }
    // An empty list has no place to copy to.
    if (size > 0) {
      std::memcpy(data, left_.data(), size);
    }
    left_.remove_prefix(size);
  }

  size_t left() const { return left_.size(); }

 private:
  std::string_view left_;
};

// NOLINTBEGIN(readability-identifier-naming): found by cereal by name.
template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  archive.LoadBytes(&value, sizeof(value));
}

// Any byte but 0 counts as true: another value in a bool is undefined.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                                      bool& value) {
  unsigned char byte = 0;
  archive.LoadBytes(&byte, sizeof(byte));
  value = byte != 0;
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive,
                               cereal::BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<size_t>(data.size));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::SizeTag<T>& tag) {
  archive(tag.size);
  if (tag.size > archive.left()) {
    throw cereal::Exception("container is larger than the message");
  }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}
// NOLINTEND(readability-identifier-naming)

}  // namespace redwing

CEREAL_REGISTER_ARCHIVE(redwing::BoundedInputArchive)

namespace cereal::traits::detail {
template <>
struct get_output_from_input<redwing::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};
}  // namespace cereal::traits::detail

#endif  // REDWING_FRAMEWORK_WIRE_BOUNDED_INPUT_ARCHIVE_H_
