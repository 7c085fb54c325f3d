#ifndef REDWING_ENTRY_ENTRY_SETTINGS_H_
#define REDWING_ENTRY_ENTRY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "framework/errors/result.h"
#include "framework/http/stop_schedule.h"
#include "framework/kernel/clock.h"

namespace redwing {

// Settings of redwing-entry. docs/operations/settings.md lists the fields.
struct EntrySettings {
  std::string instance;
  std::string region;
  std::string failure_domain;
  // Where to listen.
  std::string http_listen;
  std::string peer_listen;
  // IP number from which connections are opened; empty lets the system choose.
  std::string source_address;
  // Where others reach this instance; by default where it listens.
  std::string http_address;
  std::string peer_address;
  std::string platform_address;
  std::vector<std::string> seeds;
  // The first secret signs; all are accepted.
  std::vector<std::string> fleet_secrets;
  std::string log_level;
  std::string budget_strategy;
  std::string target_choice;
  Milliseconds lookup_ttl{0};
  Milliseconds freshness_limit{0};
  Milliseconds heartbeat_interval{0};
  Milliseconds suspicion_timeout{0};
  Milliseconds lease_duration{0};
  Milliseconds max_token_wait{0};
  Milliseconds platform_timeout{0};
  Milliseconds idle_timeout{0};
  Milliseconds header_timeout{0};
  Milliseconds io_timeout{0};
  Milliseconds drain_limit{0};
  // Time from the beginning of a stop until the platform kills the process; it
  // then takes the place of drain_limit. 0 if the platform names none.
  Milliseconds grace{0};
  size_t max_connections = 0;

  StopSchedule stop_schedule() const;

  // Reads a settings file. The failure's detail lists every problem.
  static Result<EntrySettings> Load(const std::string& path);
  static Result<EntrySettings> Parse(std::string_view text,
                                     const std::string& origin);
};

}  // namespace redwing

#endif  // REDWING_ENTRY_ENTRY_SETTINGS_H_
