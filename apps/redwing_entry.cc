// redwing-entry: an entry instance between callers and targets.

#include <fmt/format.h>

#include "apps/program_options.h"
#include "budget/budget_module.h"
#include "config/config_module.h"
#include "delivery/delivery_module.h"
#include "entry/entry_module.h"
#include "framework/http/core_module.h"
#include "framework/kernel/kernel.h"
#include "framework/kernel/process_signals.h"
#include "framework/log/log.h"
#include "framework/peer/peer_module.h"
#include "framework/wire/digest.h"
#include "membership/membership_module.h"
#include "platform/platform_module.h"
#include "routing/routing_module.h"

namespace redwing {

namespace {

constexpr size_t kProcessIdBytes = 8;

void AddModules(Kernel& kernel, const EntrySettings& settings) {
  Identity identity;
  identity.name = settings.instance;
  identity.region = settings.region;
  identity.failure_domain = settings.failure_domain;
  identity.http_address = settings.http_address;
  identity.peer_address = settings.peer_address;
  identity.process_id = RandomHex(kProcessIdBytes);
  MembershipOptions membership;
  membership.heartbeat_interval = settings.heartbeat_interval;
  membership.suspicion_timeout = settings.suspicion_timeout;
  BudgetOptions budgets;
  budgets.max_wait = settings.max_token_wait;
  budgets.lease_duration = settings.lease_duration;

  kernel.AddModule(std::make_unique<CoreModule>(settings.source_address));
  kernel.AddModule(std::make_unique<PeerModule>(
      settings.instance, settings.peer_listen, settings.fleet_secrets));
  kernel.AddModule(std::make_unique<PlatformModule>(settings.platform_address,
                                                    settings.platform_timeout));
  kernel.AddModule(
      std::make_unique<MembershipModule>(identity, membership, settings.seeds));
  kernel.AddModule(std::make_unique<ConfigModule>(settings.freshness_limit));
  kernel.AddModule(
      std::make_unique<BudgetModule>(settings.budget_strategy, budgets));
  kernel.AddModule(std::make_unique<RoutingModule>(settings.target_choice,
                                                   settings.lookup_ttl));
  kernel.AddModule(std::make_unique<DeliveryModule>(settings.fleet_secrets));
  kernel.AddModule(std::make_unique<EntryModule>(settings));
}

int Run(int argc, char** argv) {
  CLI::App app("An entry instance: answers look-ups and carries requests.");
  AddCommonOptions(app);
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "Settings file, JSON with comments")
      ->required();
  app.add_flag("--check", check, "Only check the settings");
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  const Result<EntrySettings> settings = EntrySettings::Load(path);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().detail);
    return kExitBadSettings;
  }
  if (check) {
    fmt::print("{}: settings are valid\n", path);
    return kExitOk;
  }
  SetUpLog(settings.value().instance, settings.value().log_level);
  Kernel kernel;
  AddModules(kernel, settings.value());
  const ProcessSignals signals(kernel);
  kernel.Start();
  kernel.Run();
  EndDaemon();
}

}  // namespace

}  // namespace redwing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-entry", &redwing::Run, argc, argv);
}
