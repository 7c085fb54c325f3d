#ifndef REDWING_APPS_PROGRAM_OPTIONS_H_
#define REDWING_APPS_PROGRAM_OPTIONS_H_

#include <fmt/format.h>
#include <sodium.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <string>
#include <string_view>

#include "framework/log/log.h"

namespace redwing {

// Exit codes of all programs.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,       // the operation failed or was refused
  kExitUsage = 2,        // wrong command line
  kExitBadSettings = 3,  // settings or document not valid
};

// Adds --version, and the help text's footer with the exit codes.
inline void AddCommonOptions(CLI::App& app) {
  app.set_version_flag("--version", REDWING_VERSION);
  app.footer(
      "Exit codes: 0 done, 1 failed or refused, 2 wrong command line, "
      "3 settings or document not valid.");
}

// Adds --log-to, which chooses the stream of the log.
inline void AddLogOption(CLI::App& app, LogStream* stream) {
  static const std::map<std::string, LogStream> streams = {
      {"stdout", LogStream::kStdout}, {"stderr", LogStream::kStderr}};
  app.add_option("--log-to", *stream, "Stream of the log: stdout or stderr")
      ->transform(CLI::CheckedTransformer(streams));
}

// Parses the command line. Returns whether to go on; otherwise the exit code
// is in `code`.
inline bool ParseCommandLine(CLI::App& app, int argc, char** argv, int* code) {
  try {
    app.parse(argc, argv);
    return true;
  } catch (const CLI::ParseError& error) {
    *code = app.exit(error) == 0 ? kExitOk : kExitUsage;
    return false;
  }
}

// Runs a program: sets libsodium up and turns exceptions into an exit code.
inline int RunProgram(std::string_view name,
                      int (*run)(int argc, char** argv),
                      int argc,
                      char** argv) {
  // Draws from a stream cipher in the process: a system call for each request
  // id would be most of its cost.
  randombytes_set_implementation(&randombytes_internal_implementation);
  if (sodium_init() < 0) {
    return kExitFailed;
  }
  try {
    return run(argc, argv);
  } catch (const std::exception& exception) {
    fmt::print(stderr, "{}: {}\n", name, exception.what());
    return kExitFailed;
  }
}

// Ends a daemon whose event loop has stopped. Destructors are skipped:
// coroutines still suspended would be unwound while the objects that they
// refer to are being destroyed.
[[noreturn]] inline void EndDaemon() {
  spdlog::shutdown();
  std::fflush(nullptr);
  std::quick_exit(kExitOk);
}

}  // namespace redwing

#endif  // REDWING_APPS_PROGRAM_OPTIONS_H_
