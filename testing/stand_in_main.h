#ifndef REDWING_TESTING_STAND_IN_MAIN_H_
#define REDWING_TESTING_STAND_IN_MAIN_H_

#include <fmt/format.h>

#include <string>

#include "apps/program_options.h"
#include "framework/kernel/kernel.h"
#include "framework/log/log.h"
#include "framework/settings/object_reader.h"

namespace redwing::testing {

// Runs a stand-in: reads its settings file, calls `start` with a reader over
// it, checks the settings, and runs the event loop. `start` returns the object
// to keep alive; it calls Listen() on it and prints where it listens.
template <typename Server>
int RunStandIn(int argc, char** argv) {
  CLI::App app(Server::kDescription);
  AddCommonOptions(app);
  std::string path;
  app.add_option("--settings", path, "Settings file, JSON with comments")
      ->required();
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  const Result<JsonSource> source = JsonSource::Load(path);
  if (!source) {
    fmt::print(stderr, "{}\n", source.error().detail);
    return kExitBadSettings;
  }
  Problems problems(source.value());
  ObjectReader reader(source.value().root(), "", problems);
  SetUpLog(argv[0], "warning", LogStream::kStderr);
  Kernel kernel;
  Server server(kernel, reader);
  reader.Finish();
  if (!problems.empty()) {
    fmt::print(stderr, "{}\n", problems.Text());
    return kExitBadSettings;
  }
  server.Listen();
  kernel.Run();
  EndDaemon();
}

// Prints one line of JSON that tells a test where the process listens.
inline void Announce(const nlohmann::json& addresses) {
  fmt::print("{}\n", addresses.dump());
  std::fflush(stdout);
}

}  // namespace redwing::testing

#endif  // REDWING_TESTING_STAND_IN_MAIN_H_
