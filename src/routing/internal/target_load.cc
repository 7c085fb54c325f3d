#include "routing/target_load.h"

#include <array>
#include <charconv>

namespace redwing {

std::optional<TargetLoad> TargetLoad::Parse(std::string_view text) {
  TargetLoad load;
  const std::array<int*, 3> fields = {&load.running, &load.waiting,
                                      &load.slots};
  const char* next = text.data();
  const char* const end = text.data() + text.size();
  for (size_t i = 0; i < fields.size(); ++i) {
    const std::from_chars_result parsed =
        std::from_chars(next, end, *fields[i]);
    const bool is_last = i + 1 == fields.size();
    const bool valid =
        parsed.ec == std::errc() && *fields[i] >= 0 &&
        (is_last ? parsed.ptr == end : parsed.ptr != end && *parsed.ptr == ',');
    if (!valid) {
      return std::nullopt;
    }
    next = parsed.ptr + 1;
  }
  return load;
}

}  // namespace redwing
