// redwing-admin: the administration API, beside each entry instance.

#include <fmt/format.h>

#include "admin/admin_module.h"
#include "apps/program_options.h"
#include "framework/http/core_module.h"
#include "framework/kernel/kernel.h"
#include "framework/kernel/process_signals.h"
#include "framework/log/log.h"
#include "platform/platform_module.h"

namespace redwing {

namespace {

int Run(int argc, char** argv) {
  CLI::App app("The administration API of a fleet; keeps nothing of its own.");
  AddCommonOptions(app);
  std::string path;
  app.add_option("--settings", path, "Settings file, JSON with comments")
      ->required();
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  const Result<AdminSettings> settings = AdminSettings::Load(path);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().detail);
    return kExitBadSettings;
  }
  SetUpLog("redwing-admin", settings.value().log_level);
  Kernel kernel;
  kernel.AddModule(
      std::make_unique<CoreModule>(settings.value().source_address));
  kernel.AddModule(std::make_unique<PlatformModule>(
      settings.value().platform_address, settings.value().platform_timeout));
  kernel.AddModule(std::make_unique<AdminModule>(settings.value()));
  const ProcessSignals signals(kernel);
  kernel.Start();
  kernel.Run();
  EndDaemon();
}

}  // namespace

}  // namespace redwing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-admin", &redwing::Run, argc, argv);
}
