#ifndef REDWING_FRAMEWORK_WIRE_JSON_TEXT_H_
#define REDWING_FRAMEWORK_WIRE_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace redwing {

// Returns the text of a value that may hold strings of callers, operators or
// peers. Bytes that are not UTF-8 are replaced; json::dump() would throw.
inline std::string JsonText(const nlohmann::json& value) {
  constexpr int kNoIndent = -1;
  return value.dump(kNoIndent, ' ', /*ensure_ascii=*/false,
                    nlohmann::json::error_handler_t::replace);
}

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_WIRE_JSON_TEXT_H_
