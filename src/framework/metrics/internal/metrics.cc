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

void Histogram::Record(std::chrono::milliseconds duration) {
  const int64_t ms = duration.count();
  sum_ms_ += ms;
  for (size_t i = 0; i < kBoundsMs.size(); ++i) {
    counts_[i] += ms <= kBoundsMs[i] ? 1 : 0;
  }
  ++counts_.back();
}

Histogram& Metrics::Durations(std::string_view name, std::string_view help) {
  auto family = durations_.find(name);
  if (family == durations_.end()) {
    family =
        durations_
            .emplace(std::string(name), DurationFamily{std::string(help), {}})
            .first;
  }
  return family->second.histogram;
}

std::string Metrics::PrometheusText() const {
  std::string text = DurationsText();
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

std::string Metrics::DurationsText() const {
  std::string text;
  for (const auto& [name, family] : durations_) {
    fmt::format_to(std::back_inserter(text),
                   "# HELP {0} {1}\n# TYPE {0} histogram\n", name, family.help);
    const Histogram& histogram = family.histogram;
    for (size_t i = 0; i < Histogram::kBoundsMs.size(); ++i) {
      fmt::format_to(std::back_inserter(text), "{}_bucket{{le=\"{}\"}} {}\n",
                     name, Histogram::kBoundsMs[i], histogram.counts()[i]);
    }
    fmt::format_to(std::back_inserter(text),
                   "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n"
                   "{0}_count {1}\n",
                   name, histogram.counts().back(), histogram.sum_ms());
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
