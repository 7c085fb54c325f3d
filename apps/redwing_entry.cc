// redwing-entry: an entry instance between callers and targets.

#include "apps/daemon.h"
#include "budget/budget_module.h"
#include "config/config_module.h"
#include "delivery/delivery_module.h"
#include "entry/entry_module.h"
#include "framework/http/core_module.h"
#include "framework/peer/peer_module.h"
#include "framework/wire/digest.h"
#include "membership/membership_module.h"
#include "routing/routing_module.h"
#include "store/store_module.h"

namespace redwing {

namespace {

constexpr size_t kProcessIdBytes = 8;

std::string LogName(const EntrySettings& settings) {
  return settings.instance;
}

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
  membership.remote_suspicion_timeout = settings.suspicion_timeout;
  TargetRouterOptions routing;
  routing.max_unpaid_wait = settings.max_token_wait;
  BudgetOptions budgets;
  budgets.max_wait = settings.max_token_wait;
  budgets.lease_duration = settings.lease_duration;

  kernel.AddModule(std::make_unique<CoreModule>(settings.source_address));
  kernel.AddModule(std::make_unique<PeerModule>(
      settings.instance, settings.peer_listen, settings.fleet_secrets));
  kernel.AddModule(std::make_unique<StoreModule>(settings.platform_address,
                                                 settings.platform_timeout));
  kernel.AddModule(
      std::make_unique<MembershipModule>(identity, membership, settings.seeds));
  ConfigOptions config;
  config.freshness_limit = settings.freshness_limit;
  kernel.AddModule(std::make_unique<ConfigModule>(config));
  kernel.AddModule(
      std::make_unique<BudgetModule>(settings.budget_strategy, budgets));
  kernel.AddModule(std::make_unique<RoutingModule>(
      settings.target_choice, settings.lookup_ttl, routing));
  kernel.AddModule(std::make_unique<DeliveryModule>(settings.fleet_secrets));
  kernel.AddModule(std::make_unique<EntryModule>(settings));
}

int Run(int argc, char** argv) {
  return RunDaemon<EntrySettings>(
      "An entry instance: answers look-ups and carries requests.", argc, argv,
      &LogName, &AddModules);
}

}  // namespace

}  // namespace redwing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-entry", &redwing::Run, argc, argv);
}
