#include "delivery/internal/hop_digest.h"

#include <fmt/format.h>

#include <charconv>

#include "delivery/internal/header_rules.h"
#include "framework/wire/digest.h"

namespace redwing {

namespace {
constexpr int kHexBase = 16;
}  // namespace

HopDigest::HopDigest() : state_(XXH3_createState()) {
  XXH3_64bits_reset(state_.get());
}

std::optional<HopDigest> HopDigest::Parse(const ResponseHeader& header) {
  const std::string_view field = StdView(header[BeastView(kBodyField)]);
  const char* const end = field.data() + field.size();
  uint64_t expected = 0;
  const auto [parsed, error] =
      std::from_chars(field.data(), end, expected, kHexBase);
  if (field.empty() || error != std::errc() || parsed != end) {
    return std::nullopt;
  }
  HopDigest digest;
  digest.expected_ = expected;
  return digest;
}

std::string HopDigest::TextOf(std::string_view body) {
  return fmt::format("{:016x}", Hash64(body));
}

void HopDigest::SetOn(ResponseHeader* header, std::string_view body) {
  header->set(BeastView(kBodyField), TextOf(body));
}

void HopDigest::Add(std::string_view piece) {
  XXH3_64bits_update(state_.get(), piece.data(), piece.size());
}

bool HopDigest::Matches() const {
  return XXH3_64bits_digest(state_.get()) == expected_;
}

}  // namespace redwing
