// redwing-load: callers with a stated load, and a report.

#include <fmt/format.h>

#include <fstream>

#include "apps/program_options.h"
#include "load/load_generator.h"

namespace redwing {

namespace {

int Run(int argc, char** argv) {
  CLI::App app("Sends a stated load to a fleet and reports what came back.");
  AddCommonOptions(app);
  std::string path;
  std::string json_path;
  app.add_option("--settings", path, "Settings file, JSON with comments")
      ->required();
  app.add_option("--json", json_path, "File for the report as JSON");
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  const Result<LoadPlan> plan = LoadPlan::Load(path);
  if (!plan) {
    fmt::print(stderr, "{}\n", plan.error().detail);
    return kExitBadSettings;
  }
  LoadGenerator generator(plan.value());
  const LoadReport report = generator.Run();
  if (!json_path.empty()) {
    std::ofstream file(json_path);
    file << report.ToJson().dump(2) << "\n";
    if (!file) {
      fmt::print(stderr, "file \"{}\" cannot be written\n", json_path);
      return kExitFailed;
    }
  }
  fmt::print("{}", report.Table());
  return kExitOk;
}

}  // namespace

}  // namespace redwing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-load", &redwing::Run, argc, argv);
}
