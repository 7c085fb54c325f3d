#include "entry/entry_settings.h"

#include <array>

#include "framework/settings/endpoint.h"
#include "framework/settings/object_reader.h"

namespace redwing {

namespace {

// A caller may have got its look-up answer just before this instance left the
// answers of its peers.
constexpr Milliseconds kNoticeMargin{500};

constexpr size_t kMinSecretLength = 16;
constexpr int64_t kMaxMs = 3'600'000;

// A duration field, its default and its bounds in milliseconds.
struct DurationField {
  const char* name;
  Milliseconds EntrySettings::*member;
  int64_t min;
  int64_t fallback;
};

constexpr std::array<DurationField, 11> kDurations = {{
    {"lookup_ttl_ms", &EntrySettings::lookup_ttl, 100, 5'000},
    {"freshness_limit_ms", &EntrySettings::freshness_limit, 500, 3'000},
    {"heartbeat_interval_ms", &EntrySettings::heartbeat_interval, 20, 200},
    {"suspicion_timeout_ms", &EntrySettings::suspicion_timeout, 100, 1'000},
    {"lease_duration_ms", &EntrySettings::lease_duration, 200, 1'000},
    {"max_token_wait_ms", &EntrySettings::max_token_wait, 0, 500},
    {"platform_timeout_ms", &EntrySettings::platform_timeout, 10, 2'500},
    {"idle_timeout_ms", &EntrySettings::idle_timeout, 100, 60'000},
    {"header_timeout_ms", &EntrySettings::header_timeout, 100, 10'000},
    {"io_timeout_ms", &EntrySettings::io_timeout, 100, 10'000},
    {"drain_limit_ms", &EntrySettings::drain_limit, 0, 120'000},
}};

EntrySettings Read(ObjectReader& reader) {
  EntrySettings settings;
  settings.instance = reader.String("instance");
  settings.region = reader.String("region");
  settings.failure_domain = reader.String("failure_domain");
  settings.http_listen = reader.Endpoint("http_listen");
  settings.peer_listen = reader.Endpoint("peer_listen");
  settings.http_address = reader.Endpoint("http_address", "");
  settings.peer_address = reader.Endpoint("peer_address", "");
  settings.source_address = reader.String("source_address", "");
  settings.platform_address = reader.Endpoint("platform_address");
  settings.seeds = reader.Strings("seeds");
  settings.fleet_secrets = reader.Strings("fleet_secrets");
  settings.log_level = reader.String("log_level", "info");
  settings.budget_strategy = reader.String("budget_strategy", "leased_shares");
  settings.target_choice = reader.String("target_choice", "least_outstanding");
  for (const DurationField& field : kDurations) {
    settings.*field.member = Milliseconds(
        reader.Integer(field.name, field.min, kMaxMs, field.fallback));
  }
  settings.max_connections = static_cast<size_t>(
      reader.Integer("max_connections", 1, 1'000'000, 4096));
  return settings;
}

void RejectUnless(ObjectReader& reader,
                  std::string_view field,
                  const std::string& value,
                  const std::vector<std::string>& allowed) {
  std::string list;
  for (const std::string& item : allowed) {
    if (item == value) {
      return;
    }
    list += (list.empty() ? "\"" : ", \"") + item + "\"";
  }
  reader.Reject(field, "expected one of " + list);
}

Result<EntrySettings> Check(const Result<JsonSource>& source) {
  if (!source) {
    return source.error();
  }
  Problems problems(source.value());
  ObjectReader reader(source.value().root(), "", problems);
  EntrySettings settings = Read(reader);
  RejectUnless(reader, "log_level", settings.log_level,
               {"debug", "info", "warning", "error", "off"});
  RejectUnless(reader, "budget_strategy", settings.budget_strategy,
               {"leased_shares", "fixed_shares"});
  RejectUnless(reader, "target_choice", settings.target_choice,
               {"random", "least_outstanding", "power_of_two"});
  if (!settings.source_address.empty() &&
      !ParseEndpoint(settings.source_address + ":0")) {
    reader.Reject("source_address", "expected an IP number");
  }
  for (const std::string& seed : settings.seeds) {
    if (!ParseEndpoint(seed)) {
      reader.Reject("seeds", "expected addresses such as \"10.0.0.1:7001\"");
    }
  }
  if (settings.fleet_secrets.empty()) {
    reader.Reject("fleet_secrets", "expected at least one secret");
  }
  for (const std::string& secret : settings.fleet_secrets) {
    if (secret.size() < kMinSecretLength) {
      reader.Reject("fleet_secrets",
                    "expected secrets of at least 16 characters");
    }
  }
  reader.Finish();
  if (!problems.empty()) {
    return NotRun(Errc::kInvalidSettings, problems.Text());
  }
  return settings;
}

}  // namespace

StopSchedule EntrySettings::stop_schedule() const {
  const Milliseconds notice = lookup_ttl + kNoticeMargin;
  return grace > Milliseconds(0) ? StopSchedule::Within(grace, notice)
                                 : StopSchedule::WithDrain(notice, drain_limit);
}

Result<EntrySettings> EntrySettings::Load(const std::string& path) {
  return Check(JsonSource::Load(path));
}

Result<EntrySettings> EntrySettings::Parse(std::string_view text,
                                           const std::string& origin) {
  return Check(JsonSource::Parse(text, origin));
}

}  // namespace redwing
