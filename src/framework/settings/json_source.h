#ifndef REDWING_FRAMEWORK_SETTINGS_JSON_SOURCE_H_
#define REDWING_FRAMEWORK_SETTINGS_JSON_SOURCE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "framework/errors/result.h"

namespace redwing {

// A parsed JSON-with-comments text that knows the line of each value.
class JsonSource {
 public:
  // Parses a text. The failure's detail gives line, column and reason.
  // `origin` names the text in messages, usually the file.
  static Result<JsonSource> Parse(std::string_view text, std::string origin);

  // Reads and parses a file.
  static Result<JsonSource> Load(const std::string& path);

  const nlohmann::json& root() const { return root_; }
  const std::string& origin() const { return origin_; }

  // Returns the line (from 1) of the value at a JSON pointer, or of its
  // nearest known ancestor.
  int LineOf(const std::string& pointer) const;

 private:
  std::string origin_;
  nlohmann::json root_;
  std::map<std::string, int> lines_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_SETTINGS_JSON_SOURCE_H_
