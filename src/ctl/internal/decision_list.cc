#include "ctl/decision_list.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace redwing {

namespace {

using nlohmann::json;

struct Line {
  int64_t at_ms = 0;
  std::string instance;
  std::string text;
};

std::vector<Line> LinesOf(const json& instances) {
  std::vector<Line> lines;
  for (const json& instance : instances) {
    for (const json& decision : instance.value("decisions", json::array())) {
      lines.push_back({decision.value("at_ms", int64_t{0}),
                       instance.value("instance", ""),
                       decision.value("text", "")});
    }
  }
  std::stable_sort(
      lines.begin(), lines.end(),
      [](const Line& a, const Line& b) { return a.at_ms < b.at_ms; });
  return lines;
}

std::string TimeText(int64_t at_ms) {
  constexpr int64_t kMsPerSecond = 1000;
  const std::time_t seconds = at_ms / kMsPerSecond;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(seconds),
                     at_ms % kMsPerSecond);
}

}  // namespace

std::string DecisionList(const json& answer) {
  const json& instances = answer.at("instances");
  const std::vector<Line> lines = LinesOf(instances);
  std::string text;
  for (const Line& line : lines) {
    text += fmt::format("{} {}: {}\n", TimeText(line.at_ms), line.instance,
                        line.text);
  }
  if (lines.empty()) {
    text += "no instance that could be asked remembers the request\n";
  }
  for (const json& instance : instances) {
    if (instance.contains("unreachable")) {
      text += fmt::format("{} could not be asked: {}\n",
                          instance.value("instance", ""),
                          instance.value("unreachable", ""));
    }
  }
  return text;
}

}  // namespace redwing
