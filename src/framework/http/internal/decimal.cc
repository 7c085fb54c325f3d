#include "framework/http/decimal.h"

#include <charconv>
#include <cmath>

namespace redwing {

std::optional<double> ParseDecimal(std::string_view text) {
  double number = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result read =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  const bool is_number = read.ec == std::errc() && read.ptr == end;
  if (!is_number || !std::isfinite(number) || std::signbit(number)) {
    return std::nullopt;
  }
  return number;
}

}  // namespace redwing
