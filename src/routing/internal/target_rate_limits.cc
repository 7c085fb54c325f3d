#include "routing/target_rate_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership/heartbeat.h"

namespace redwing {

bool TargetRateLimits::RecordFromResponse(const TargetStart& target,
                                          double rate,
                                          TimePoint now) {
  if (rate == kNoRateLimit && limits_.Find(target) == nullptr) {
    return false;
  }
  const bool changed = Record(target, rate, now, now);
  // The end of a limit is announced as well, but not renewed.
  if (rate != kNoRateLimit || changed) {
    announced_.Add(target, now);
  }
  return changed;
}

bool TargetRateLimits::RecordFromPeer(const TargetRateReport& report,
                                      TimePoint now) {
  if (std::isnan(report.rate) || report.rate < 0) {
    return false;
  }
  return Record(report.target, report.rate, now - Milliseconds(report.age_ms),
                now);
}

bool TargetRateLimits::Record(const TargetStart& target,
                              double rate,
                              TimePoint reported_at,
                              TimePoint now) {
  Limit* const limit = limits_.FindOrCreate(target, now);
  if (limit == nullptr || reported_at < limit->reported_at) {
    return false;
  }
  limit->reported_at = reported_at;
  const double floored = std::max<double>(rate, kMinRate);
  const double before = std::exchange(limit->rate, floored);
  return limit->rate != before;
}

double TargetRateLimits::RateOf(const TargetStart& target) const {
  const Limit* const limit = limits_.Find(target);
  if (limit == nullptr) {
    return kNoRateLimit;
  }
  return limit->rate;
}

std::vector<TargetRateReport> TargetRateLimits::NextToAnnounce(TimePoint now) {
  std::vector<TargetRateReport> reports;
  for (const TargetStart& target : announced_.Next(now)) {
    const Limit* const limit = limits_.Find(target);
    if (limit != nullptr) {
      const Milliseconds age =
          std::chrono::ceil<Milliseconds>(now - limit->reported_at);
      reports.push_back(
          {target, limit->rate, static_cast<uint32_t>(age.count()), 0});
    }
  }
  return reports;
}

void TargetRateLimits::Retain(const std::function<bool(uint64_t)>& is_listed,
                              TimePoint now) {
  limits_.Retain(is_listed, now);
}

}  // namespace redwing
