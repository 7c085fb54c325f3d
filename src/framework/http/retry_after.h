#ifndef REDWING_FRAMEWORK_HTTP_RETRY_AFTER_H_
#define REDWING_FRAMEWORK_HTTP_RETRY_AFTER_H_

#include <optional>
#include <string_view>

#include "framework/kernel/clock.h"

namespace redwing {

// Longer times are taken for this one: no process lives to see their end.
inline constexpr std::chrono::hours kLongestRetryAfter{24 * 365};

// Reads a Retry-After field in seconds, fractions included (RFC 9110, 10.2.3),
// rounded up to milliseconds. Returns nothing for dates and for what is
// negative, endless or no number.
std::optional<Milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_RETRY_AFTER_H_
