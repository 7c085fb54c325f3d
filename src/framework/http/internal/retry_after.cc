#include "framework/http/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace redwing {

namespace {
constexpr double kMillisPerSecond = 1000;
}  // namespace

std::optional<Milliseconds> ParseRetryAfter(std::string_view text) {
  double seconds = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  const bool is_number = read.ec == std::errc() && read.ptr == end;
  if (!is_number || !std::isfinite(seconds) || std::signbit(seconds)) {
    return std::nullopt;
  }
  const double longest = ToSeconds(kLongestRetryAfter);
  return Milliseconds(static_cast<int64_t>(
      std::ceil(std::min(seconds, longest) * kMillisPerSecond)));
}

}  // namespace redwing
