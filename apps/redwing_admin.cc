// redwing-admin: the administration API, beside each entry instance.

#include "admin/admin_module.h"
#include "apps/daemon.h"
#include "framework/http/core_module.h"
#include "store/store_module.h"

namespace redwing {

namespace {

std::string LogName(const AdminSettings& /*settings*/) {
  return "redwing-admin";
}

void AddModules(Kernel& kernel, const AdminSettings& settings) {
  kernel.AddModule(std::make_unique<CoreModule>(settings.source_address));
  kernel.AddModule(std::make_unique<StoreModule>(settings.platform_address,
                                                 settings.platform_timeout));
  kernel.AddModule(std::make_unique<AdminModule>(settings));
}

int Run(int argc, char** argv) {
  return RunDaemon<AdminSettings>(
      "The administration API of a fleet; keeps nothing of its own.", argc,
      argv, &LogName, &AddModules);
}

}  // namespace

}  // namespace redwing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-admin", &redwing::Run, argc, argv);
}
