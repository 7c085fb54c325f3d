#include "framework/http/retry_after.h"

#include <algorithm>
#include <cmath>

#include "framework/http/decimal.h"

namespace redwing {

namespace {
constexpr double kMillisPerSecond = 1000;
}  // namespace

std::optional<Milliseconds> ParseRetryAfter(std::string_view text) {
  const std::optional<double> seconds = ParseDecimal(text);
  if (!seconds) {
    return std::nullopt;
  }
  const double longest = ToSeconds(kLongestRetryAfter);
  return Milliseconds(static_cast<int64_t>(
      std::ceil(std::min(*seconds, longest) * kMillisPerSecond)));
}

}  // namespace redwing
