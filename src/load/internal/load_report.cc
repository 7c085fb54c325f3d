#include "load/load_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace redwing {

namespace {

using nlohmann::json;

double Quantile(const std::vector<double>& sorted, double part) {
  if (sorted.empty()) {
    return 0;
  }
  const size_t index = static_cast<size_t>(
      std::lround(part * static_cast<double>(sorted.size() - 1)));
  return sorted[index];
}

std::string ErrorText(const std::string& error, Verdict verdict) {
  return fmt::format("{}/{}", error, VerdictName(verdict));
}

json DescribeTry(const FailedTry& failed) {
  return {{"request", failed.request_id},
          {"error", ErrorText(failed.error, failed.verdict)}};
}

}  // namespace

void LoadReport::Join(const json& runs) {
  std::map<std::string, int> runs_by_token;
  for (const json& run : runs) {
    ++runs_by_token[run.at(2).get<std::string>()];
  }
  int doubled = 0;
  int lost = 0;
  int false_not_run = 0;
  json examples = json::array();
  for (const RequestEnd& end : ends_) {
    const auto found = runs_by_token.find(end.token);
    const int count = found == runs_by_token.end() ? 0 : found->second;
    const bool is_doubled = end.once && count > 1;
    const bool is_lost = end.ok && count == 0;
    const bool is_false =
        !end.ok && end.verdict == Verdict::kNotRun && count > 0;
    doubled += is_doubled ? 1 : 0;
    lost += is_lost ? 1 : 0;
    false_not_run += is_false ? 1 : 0;
    if ((is_doubled || is_lost || is_false) && examples.size() < kMaxExamples) {
      examples.push_back(
          {end.token, end.error, VerdictName(end.verdict), count});
    }
  }
  int keys_seen = 0;
  for (const json& run : runs) {
    keys_seen += run.at(4).get<bool>() ? 1 : 0;
  }
  joined_ = true;
  join_ = {{"runs", runs.size()},
           {"doubled", doubled},
           {"lost", lost},
           {"false_not_run", false_not_run},
           {"keys_seen_by_targets", keys_seen},
           {"examples", examples}};
}

json LoadReport::ToJson() const {
  std::set<std::string> groups;
  for (const RequestEnd& end : ends_) {
    groups.insert(end.group);
  }
  json report = {{"all", Summary("")},
                 {"groups", json::object()},
                 {"failed", FailedExamples()}};
  for (const std::string& group : groups) {
    report["groups"][group] = Summary(group);
  }
  if (joined_) {
    report["joined"] = join_;
  }
  return report;
}

std::string LoadReport::Table() const {
  const json report = ToJson();
  std::string text = fmt::format("{:<24}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}\n",
                                 "group", "sent", "ok", "refused", "p50 ms",
                                 "p99 ms", "p99.9 ms", "max ms");
  const auto row = [&text](const std::string& name, const json& s) {
    text += fmt::format(
        "{:<24}{:>9}{:>9}{:>9}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.1f}\n", name,
        s.at("sent").get<int>(), s.at("ok").get<int>(),
        s.at("sent").get<int>() - s.at("ok").get<int>(),
        s.at("p50_ms").get<double>(), s.at("p99_ms").get<double>(),
        s.at("p999_ms").get<double>(), s.at("max_ms").get<double>());
  };
  for (auto group = report.at("groups").begin();
       group != report.at("groups").end(); ++group) {
    row(group.key(), *group);
  }
  row("all", report.at("all"));
  for (auto error = report.at("all").at("errors").begin();
       error != report.at("all").at("errors").end(); ++error) {
    text += fmt::format("  {}: {}\n", error.key(), error->get<int>());
  }
  if (joined_) {
    text += fmt::format(
        "runs at targets {}, doubled {}, lost {}, false not_run {}, keys seen "
        "by targets {}\n",
        join_.at("runs").get<int>(), join_.at("doubled").get<int>(),
        join_.at("lost").get<int>(), join_.at("false_not_run").get<int>(),
        join_.at("keys_seen_by_targets").get<int>());
  }
  return text;
}

json LoadReport::FailedExamples() const {
  json failed = json::array();
  for (const RequestEnd& end : ends_) {
    if (end.ok || failed.size() >= kMaxExamples) {
      continue;
    }
    json example = {{"token", end.token},
                    {"error", ErrorText(end.error, end.verdict)}};
    if (end.first_failed) {
      example["first"] = DescribeTry(*end.first_failed);
      example["last"] = DescribeTry(*end.last_failed);
    }
    failed.push_back(std::move(example));
  }
  return failed;
}

json LoadReport::Summary(const std::string& group) const {
  std::vector<double> latencies;
  std::map<std::string, int> errors;
  std::map<std::string, int> verdicts;
  int sent = 0;
  for (const RequestEnd& end : ends_) {
    if (!group.empty() && end.group != group) {
      continue;
    }
    ++sent;
    if (end.ok) {
      latencies.push_back(end.ended_ms - end.begun_ms);
    } else {
      ++errors[ErrorText(end.error, end.verdict)];
      ++verdicts[std::string(VerdictName(end.verdict))];
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return {{"sent", sent},
          {"ok", latencies.size()},
          {"errors", errors},
          {"verdicts", verdicts},
          {"p50_ms", Quantile(latencies, 0.5)},
          {"p90_ms", Quantile(latencies, 0.9)},
          {"p99_ms", Quantile(latencies, 0.99)},
          {"p999_ms", Quantile(latencies, 0.999)},
          {"max_ms", latencies.empty() ? 0 : latencies.back()}};
}

}  // namespace redwing
