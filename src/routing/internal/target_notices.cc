#include "routing/internal/target_notices.h"

#include <unordered_set>

#include "config/steering_config.h"
#include "framework/log/log.h"
#include "framework/metrics/metrics.h"
#include "framework/wire/digest.h"
#include "membership/heartbeat.h"

namespace redwing {

namespace {
// Scanning the whole list at each of its changes would be wasteful.
constexpr std::chrono::seconds kRetainInterval{10};
}  // namespace

void TargetNotices::Attach(std::shared_ptr<SteeringConfig> config) {
  config_ = std::move(config);
}

void TargetNotices::ApplyListing(TimePoint now) {
  listed_as_leaving_.clear();
  for (const ListedInstance& instance : config_->listing().instances) {
    if (instance.leaving) {
      listed_as_leaving_.insert(instance.name);
    }
  }
  if (now - retained_at_ >= kRetainInterval) {
    retained_at_ = now;
    Retain(now);
  }
}

void TargetNotices::Retain(TimePoint now) {
  std::unordered_set<uint64_t> listed;
  const std::shared_ptr<const SteeringDocument> document = config_->document();
  for (const auto& [name, service] : document->services()) {
    for (const Target& target : service.targets) {
      listed.insert(Hash64(target.name));
    }
  }
  const auto is_listed = [&listed](uint64_t hash) {
    return listed.count(hash) > 0;
  };
  departures_.Retain(is_listed, now);
  backoffs_.Retain(is_listed, now);
  rate_limits_.Retain(is_listed, now);
}

bool TargetNotices::IsClosed(const Target& target) const {
  const Drains& drains = config_->drains();
  if (drains.targets.count(target.name) > 0 ||
      drains.failure_domains.count(target.failure_domain) > 0 ||
      drains.target_failure_domains.count(target.failure_domain) > 0 ||
      drains.regions.count(target.region) > 0) {
    return true;
  }
  return listed_as_leaving_.count(target.name) > 0 ||
         (!departures_.empty() &&
          departures_.HasLeft({target.name, target.started_at}));
}

TimePoint TargetNotices::BackoffEnd(const Target& target) const {
  return backoffs_.empty() ? TimePoint()
                           : backoffs_.EndOf({target.name, target.started_at});
}

double TargetNotices::RateLimitOf(const Target& target) const {
  return rate_limits_.empty()
             ? kNoRateLimit
             : rate_limits_.RateOf({target.name, target.started_at});
}

bool TargetNotices::RecordDeparture(const TargetStart& target,
                                    std::string_view name,
                                    std::string_view request_id,
                                    TimePoint now) {
  if (!departures_.RecordFromResponse(target, now)) {
    return false;
  }
  spdlog::info("event=target_leaving target={} started_at={} request={}", name,
               target.started_at, Quoted(request_id));
  metrics_
      .Get("redwing_target_departures_total",
           "Targets that said in an answer that they leave, in targets",
           {{"told_by", "answer"}})
      .Add();
  return true;
}

bool TargetNotices::RecordFromPeer(const std::vector<TargetStart>& departed,
                                   std::string_view member,
                                   TimePoint now) {
  bool any_new = false;
  for (const TargetStart& target : departed) {
    if (!departures_.RecordFromPeer(target, now)) {
      continue;
    }
    any_new = true;
    spdlog::info("event=target_leaving target={} member={}", target.Format(),
                 member);
    metrics_
        .Get("redwing_target_departures_total",
             "Targets that said in an answer that they leave, in targets",
             {{"told_by", "peer"}})
        .Add();
  }
  return any_new;
}

TimePoint TargetNotices::RecordBackoff(const TargetStart& target,
                                       std::string_view name,
                                       Milliseconds asked,
                                       std::string_view request_id,
                                       TimePoint now) {
  const TimePoint before = backoffs_.EndOf(target);
  const TimePoint end = backoffs_.Record(target, asked, now);
  if (end > before) {
    spdlog::info(
        "event=target_backoff target={} asked_ms={} left_ms={} request={}",
        name, asked.count(),
        std::chrono::duration_cast<Milliseconds>(end - now).count(),
        Quoted(request_id));
    metrics_
        .Get("redwing_target_backoffs_total",
             "Times for which targets asked for no requests, in answers")
        .Add();
  }
  return end;
}

bool TargetNotices::RecordRateLimit(const TargetStart& target,
                                    std::string_view name,
                                    double rate,
                                    std::string_view request_id,
                                    TimePoint now) {
  if (!rate_limits_.RecordFromResponse(target, rate, now)) {
    return false;
  }
  spdlog::info("event=target_rate_limit target={} per_second={} request={}",
               name, rate, Quoted(request_id));
  metrics_
      .Get("redwing_target_rate_limit_changes_total",
           "Changes of the rate limits that targets name, in changes",
           {{"told_by", "answer"}})
      .Add();
  return true;
}

bool TargetNotices::RecordRateLimitsFromPeer(
    const std::vector<TargetRateReport>& reports,
    std::string_view member,
    TimePoint now) {
  bool any_changed = false;
  for (const TargetRateReport& report : reports) {
    if (!rate_limits_.RecordFromPeer(report, now)) {
      continue;
    }
    any_changed = true;
    spdlog::info(
        "event=target_rate_limit target={} per_second={} member={} age_ms={}",
        report.target.Format(), report.rate, member, report.age_ms);
    metrics_
        .Get("redwing_target_rate_limit_changes_total",
             "Changes of the rate limits that targets name, in changes",
             {{"told_by", "peer"}})
        .Add();
  }
  return any_changed;
}

void TargetNotices::Announce(Heartbeat* heartbeat, TimePoint now) {
  heartbeat->departed = departures_.NextToAnnounce(now);
  heartbeat->rate_limits = rate_limits_.NextToAnnounce(now);
}

}  // namespace redwing
