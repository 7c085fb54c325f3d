#include "membership/target_start.h"

#include <fmt/format.h>

#include <charconv>

#include "framework/wire/digest.h"

namespace redwing {

namespace {
constexpr char kSeparator = '-';
constexpr int kHexadecimal = 16;
constexpr int kDecimal = 10;

bool ParseNumber(std::string_view text, int base, uint64_t* number) {
  const char* const end = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(text.data(), end, *number, base);
  return read.ec == std::errc() && read.ptr == end;
}
}  // namespace

TargetStart::TargetStart(std::string_view name, uint64_t start)
    : name_hash(Hash64(name)), started_at(start) {}

std::string TargetStart::Format() const {
  return fmt::format("{:x}{}{}", name_hash, kSeparator, started_at);
}

std::optional<TargetStart> TargetStart::Parse(std::string_view text) {
  const size_t separator = text.find(kSeparator);
  TargetStart start;
  if (separator == std::string_view::npos ||
      !ParseNumber(text.substr(0, separator), kHexadecimal, &start.name_hash) ||
      !ParseNumber(text.substr(separator + 1), kDecimal, &start.started_at)) {
    return std::nullopt;
  }
  return start;
}

}  // namespace redwing
