#include "routing/key_prefix.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace redwing {

namespace {
constexpr size_t kProcessIdLength = 16;
}  // namespace

std::string KeyPrefix(std::string_view process_id, uint32_t epoch) {
  return fmt::format("{}.{}", process_id, epoch);
}

std::optional<BoundKey> ParseBoundKey(std::string_view key) {
  const size_t dash = key.find('-');
  if (dash == std::string_view::npos || dash < kProcessIdLength + 2 ||
      key[kProcessIdLength] != '.') {
    return std::nullopt;
  }
  const std::string_view process_id = key.substr(0, kProcessIdLength);
  const bool hex = std::all_of(
      process_id.begin(), process_id.end(),
      [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
  BoundKey bound{std::string(process_id), 0};
  const char* const begin = key.data() + kProcessIdLength + 1;
  const char* const end = key.data() + dash;
  const std::from_chars_result parsed =
      std::from_chars(begin, end, bound.epoch);
  if (!hex || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return bound;
}

}  // namespace redwing
