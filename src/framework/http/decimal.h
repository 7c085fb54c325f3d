#ifndef REDWING_FRAMEWORK_HTTP_DECIMAL_H_
#define REDWING_FRAMEWORK_HTTP_DECIMAL_H_

#include <optional>
#include <string_view>

namespace redwing {

// Parses a header field's decimal number, such as "2" or "0.25". Returns
// std::nullopt if it is negative, not finite or not a number.
std::optional<double> ParseDecimal(std::string_view text);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_DECIMAL_H_
