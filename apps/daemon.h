#ifndef REDWING_APPS_DAEMON_H_
#define REDWING_APPS_DAEMON_H_

#include <fmt/format.h>

#include <string>

#include "apps/program_options.h"
#include "framework/errors/result.h"
#include "framework/kernel/held_signals.h"
#include "framework/kernel/kernel.h"
#include "framework/kernel/process_signals.h"
#include "framework/log/log.h"

namespace redwing {

// Runs a daemon: reads its settings, lets `add_modules` add its modules, and
// runs the event loop until a signal ends it. `name` is what its log lines
// carry.
template <typename Settings>
int RunDaemon(const std::string& description,
              int argc,
              char** argv,
              std::string (*name)(const Settings&),
              void (*add_modules)(Kernel&, const Settings&)) {
  HoldSignals();
  CLI::App app(description);
  AddCommonOptions(app);
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "Settings file, JSON with comments")
      ->required();
  app.add_flag("--check", check, "Only check the settings");
  LogStream stream = LogStream::kStdout;
  AddLogOption(app, &stream);
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  const Result<Settings> settings = Settings::Load(path);
  if (!settings) {
    fmt::print(stderr, "{}\n", settings.error().detail);
    return kExitBadSettings;
  }
  if (check) {
    fmt::print("{}: settings are valid\n", path);
    return kExitOk;
  }
  SetUpLog(name(settings.value()), settings.value().log_level, stream);
  Kernel kernel;
  add_modules(kernel, settings.value());
  const ProcessSignals signals(kernel);
  kernel.Start();
  kernel.Run();
  EndDaemon();
}

}  // namespace redwing

#endif  // REDWING_APPS_DAEMON_H_
