// redwing-bench: measurements of whole fleets. Reports figures, asserts
// nothing.

#include <fmt/format.h>

#include <functional>
#include <map>

#include "apps/program_options.h"
#include "testing/bench/scenarios.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

using Scenario = std::function<json(const BenchOptions&)>;

const std::map<std::string, Scenario>& Scenarios() {
  static const std::map<std::string, Scenario> scenarios = {
      {"skew-over", [](const BenchOptions& o) { return MeasureSkew(o, 3); }},
      {"skew-inside",
       [](const BenchOptions& o) { return MeasureSkew(o, 0.9); }},
      {"noisy", MeasureNoisy},
      {"shift", MeasureShift},
      {"latency", MeasureLatency},
      {"cost", MeasureCost},
      {"connections", MeasureConnections},
      {"choice", MeasureChoice},
      {"control", MeasureControl},
      {"spread", MeasureSpread},
      {"withdrawal", MeasureWithdrawal},
      {"client-blocks", MeasureClientBlocks},
      {"admission", MeasureAdmission},
  };
  return scenarios;
}

int Run(int argc, char** argv) {
  CLI::App app("Measures whole fleets on loopback.");
  AddCommonOptions(app);
  std::vector<std::string> names;
  for (const auto& [name, scenario] : Scenarios()) {
    names.push_back(name);
  }
  std::vector<std::string> chosen;
  BenchOptions options;
  app.add_option("scenarios", chosen, "What to measure; all by default")
      ->check(CLI::IsMember(names));
  app.add_option("--entries", options.entries, "Entries in each region")
      ->check(CLI::Range(1, 40));
  app.add_option("--strategy", options.strategy, "Budget strategy");
  app.add_option("--choice", options.choice, "Target choice");
  app.add_option("--part", options.part, "Part of the rate or the slots");
  app.add_option("--loss", options.loss, "Part of peer datagrams lost")
      ->check(CLI::Range(0.0, 0.9));
  app.add_option("--seconds", options.seconds, "Length of each load")
      ->check(CLI::Range(2, 600));
  int code = kExitOk;
  if (!ParseCommandLine(app, argc, argv, &code)) {
    return code;
  }
  for (const std::string& name : chosen.empty() ? names : chosen) {
    const json figures = Scenarios().at(name)(options);
    fmt::print("{}: {}\n", name, figures.dump(2));
    std::fflush(stdout);
  }
  return kExitOk;
}

}  // namespace

}  // namespace redwing::testing

int main(int argc, char** argv) {
  return redwing::RunProgram("redwing-bench", &redwing::testing::Run, argc,
                             argv);
}
