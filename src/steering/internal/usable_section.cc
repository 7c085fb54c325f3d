#include "steering/usable_section.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "steering/section_parser.h"

namespace redwing {

namespace {

using nlohmann::json;

constexpr const char* kTeam = "team";

// Parses parts of a section one by one.
class PartChecker {
 public:
  PartChecker(const std::string& name, const json& team)
      : name_(name), team_(team) {}

  // Returns the part without what is invalid in it.
  json UsableOf(const std::string& part, const json& value) {
    if (!value.is_structured()) {
      problems_.push_back(
          fmt::format("\"{}\": found {}", part, value.type_name()));
      return json::array();
    }
    json usable = value.is_array() ? json::array() : json::object();
    size_t index = 0;
    for (const auto& [key, item] : value.items()) {
      const json alone =
          value.is_array() ? json::array({item}) : json::object({{key, item}});
      const Result<Section> parsed =
          ParseSection(name_, json({{kTeam, team_}, {part, alone}}).dump());
      if (!parsed) {
        problems_.push_back(fmt::format("\"{}\", item {}: {}", part, index,
                                        parsed.error().detail));
      } else if (value.is_array()) {
        usable.push_back(item);
      } else {
        usable[key] = item;
      }
      ++index;
    }
    return usable;
  }

  std::vector<std::string> TakeProblems() { return std::move(problems_); }

 private:
  const std::string& name_;
  const json& team_;
  std::vector<std::string> problems_;
};

}  // namespace

Result<UsableSection> ParseUsableSection(const std::string& name,
                                         std::string_view text) {
  Result<Section> whole = ParseSection(name, text);
  if (whole) {
    return UsableSection{std::move(whole.value()), {}};
  }
  const json body = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object() || !body.contains(kTeam)) {
    return whole.error();
  }
  PartChecker checker(name, body.at(kTeam));
  json usable = {{kTeam, body.at(kTeam)}};
  for (const auto& [part, value] : body.items()) {
    if (part == kTeam) {
      continue;
    }
    usable[part] = checker.UsableOf(part, value);
    // Better the former section than one without any route or service.
    if (value.is_array() && usable.at(part).empty() && !value.empty()) {
      return whole.error();
    }
  }
  Result<Section> section = ParseSection(name, usable.dump());
  if (!section) {
    return section.error();
  }
  return UsableSection{std::move(section.value()), checker.TakeProblems()};
}

}  // namespace redwing
