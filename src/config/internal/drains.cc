#include "config/drains.h"

#include <array>
#include <utility>

namespace redwing {

namespace {

using nlohmann::json;
using NameSet = std::set<std::string>;

constexpr std::array<std::pair<const char*, NameSet Drains::*>, 5> kFields = {{
    {"targets", &Drains::targets},
    {"failure_domains", &Drains::failure_domains},
    {"target_failure_domains", &Drains::target_failure_domains},
    {"regions", &Drains::regions},
    {"instances", &Drains::instances},
}};

}  // namespace

Drains Drains::Parse(const std::string& body) {
  Drains drains;
  const json value = json::parse(body, nullptr, /*allow_exceptions=*/false);
  for (const auto& [name, member] : kFields) {
    if (!value.is_object() || !value.contains(name)) {
      continue;
    }
    for (const json& item : value.at(name)) {
      if (item.is_string()) {
        (drains.*member).insert(item.get<std::string>());
      }
    }
  }
  return drains;
}

json Drains::ToJson() const {
  json value = json::object();
  for (const auto& [name, member] : kFields) {
    value[name] = this->*member;
  }
  return value;
}

}  // namespace redwing
