#ifndef REDWING_FRAMEWORK_HTTP_URL_H_
#define REDWING_FRAMEWORK_HTTP_URL_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

struct QueryParameter {
  std::string name;
  std::string value;
  // The parameter as it stood in the query, not decoded.
  std::string raw;
};

// An origin-form request target, split. RFC 9112 section 3.2.1.
struct Url {
  std::string path;
  std::vector<QueryParameter> query;

  // Returns the value of the first parameter of that name.
  std::optional<std::string> Query(std::string_view name) const;
};

// Splits a request target; nothing when it does not begin with "/", contains a
// malformed percent escape, or a path segment "." or "..".
std::optional<Url> ParseTarget(std::string_view target);

// Decodes percent escapes; nothing when one is malformed or decodes to NUL.
std::optional<std::string> PercentDecode(std::string_view text);

// Escapes everything but unreserved characters.
std::string PercentEncode(std::string_view text);

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_HTTP_URL_H_
