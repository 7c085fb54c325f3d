#include "framework/metrics/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace redwing {

namespace {

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

std::string RenderLabels(std::initializer_list<Metrics::Label> labels) {
  std::string text;
  for (const Metrics::Label& label : labels) {
    fmt::format_to(std::back_inserter(text), "{}{}=\"{}\"",
                   text.empty() ? "{" : ",", label.first,
                   EscapeLabel(label.second));
  }
  return text.empty() ? text : text + "}";
}

}  // namespace

Counter& Metrics::Get(std::string_view name,
                      std::string_view help,
                      std::initializer_list<Label> labels,
                      MetricKind kind) {
  auto family = families_.find(name);
  if (family == families_.end()) {
    family =
        families_
            .emplace(std::string(name), Family{std::string(help), kind, {}})
            .first;
  }
  return family->second.series[RenderLabels(labels)];
}

std::string Metrics::PrometheusText() const {
  std::string text;
  for (const auto& [name, family] : families_) {
    fmt::format_to(std::back_inserter(text), "# HELP {} {}\n# TYPE {} {}\n",
                   name, family.help, name,
                   family.kind == MetricKind::kCounter ? "counter" : "gauge");
    for (const auto& [labels, counter] : family.series) {
      fmt::format_to(std::back_inserter(text), "{}{} {}\n", name, labels,
                     counter.value());
    }
  }
  return text;
}

std::string Metrics::LogLine() const {
  std::string text;
  for (const auto& [name, family] : families_) {
    for (const auto& [labels, counter] : family.series) {
      if (counter.value() != 0) {
        fmt::format_to(std::back_inserter(text), " {}{}={}", name, labels,
                       counter.value());
      }
    }
  }
  return text;
}

}  // namespace redwing
