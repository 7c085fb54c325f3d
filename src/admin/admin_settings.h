#ifndef REDWING_ADMIN_ADMIN_SETTINGS_H_
#define REDWING_ADMIN_ADMIN_SETTINGS_H_

#include <string>

#include "framework/errors/result.h"
#include "framework/kernel/clock.h"

namespace redwing {

// Settings of redwing-admin. docs/operations/settings.md lists the fields.
struct AdminSettings {
  std::string http_listen;
  std::string source_address;
  std::string entry_address;
  std::string platform_address;
  std::string fleet_secret;
  std::string root_key;
  std::string log_level;
  Milliseconds platform_timeout{0};

  static Result<AdminSettings> Load(const std::string& path);
};

}  // namespace redwing

#endif  // REDWING_ADMIN_ADMIN_SETTINGS_H_
