#include "admin/admin_settings.h"

#include "framework/settings/object_reader.h"

namespace redwing {

Result<AdminSettings> AdminSettings::Load(const std::string& path) {
  const Result<JsonSource> source = JsonSource::Load(path);
  if (!source) {
    return source.error();
  }
  Problems problems(source.value());
  ObjectReader reader(source.value().root(), "", problems);
  AdminSettings settings;
  settings.http_listen = reader.Endpoint("http_listen");
  settings.source_address = reader.String("source_address", "");
  settings.entry_address = reader.Endpoint("entry_address");
  settings.platform_address = reader.Endpoint("platform_address");
  settings.fleet_secret = reader.String("fleet_secret");
  settings.root_key = reader.String("root_key", "");
  settings.log_level = reader.String("log_level", "info");
  settings.platform_timeout =
      Milliseconds(reader.Integer("platform_timeout_ms", 10, 600'000, 5'000));
  reader.Finish();
  if (!problems.empty()) {
    return NotRun(Errc::kInvalidSettings, problems.Text());
  }
  return settings;
}

}  // namespace redwing
