#ifndef REDWING_FRAMEWORK_METRICS_METRICS_H_
#define REDWING_FRAMEWORK_METRICS_METRICS_H_

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "framework/metrics/counter.h"
#include "framework/metrics/histogram.h"

namespace redwing {

enum class MetricKind { kCounter, kGauge };

// Registry of a process's metrics, rendered in the Prometheus text format.
// References to counters stay valid as long as the registry.
class Metrics {
 public:
  static constexpr std::string_view kServiceName = "metrics";

  using Label = std::pair<std::string_view, std::string_view>;

  // Returns the counter with this name and labels, created on first use.
  // `help` states the unit.
  Counter& Get(std::string_view name,
               std::string_view help,
               std::initializer_list<Label> labels = {},
               MetricKind kind = MetricKind::kCounter);

  Counter& Gauge(std::string_view name,
                 std::string_view help,
                 std::initializer_list<Label> labels = {}) {
    return Get(name, help, labels, MetricKind::kGauge);
  }

  // Returns the histogram of durations with this name, created on first use.
  Histogram& Durations(std::string_view name, std::string_view help);

  // Renders all metrics.
  std::string PrometheusText() const;
  // Renders the counters that are not zero as one line for the log.
  std::string LogLine() const;

 private:
  std::string DurationsText() const;

  struct Family {
    std::string help;
    MetricKind kind;
    std::map<std::string, Counter> series;
  };

  struct DurationFamily {
    std::string help;
    Histogram histogram;
  };

  std::map<std::string, Family, std::less<>> families_;
  std::map<std::string, DurationFamily, std::less<>> durations_;
};

}  // namespace redwing

#endif  // REDWING_FRAMEWORK_METRICS_METRICS_H_
