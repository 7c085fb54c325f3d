#include "testing/harness/windows.h"

#include <algorithm>
#include <limits>

namespace redwing::testing {

namespace {
// Fields of a run as FakeTargets lists it.
constexpr size_t kRunAt = 0;
constexpr size_t kRunWorkspace = 3;
constexpr size_t kRunArrived = 6;

std::vector<double> TimesOf(const nlohmann::json& runs,
                            const std::string& workspace,
                            size_t field) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  std::vector<double> times;
  for (const nlohmann::json& run : runs) {
    if (run.at(kRunWorkspace) == workspace) {
      times.push_back(run.at(field).get<double>() / kMicrosecondsPerSecond);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}
}  // namespace

std::vector<double> RunTimes(const nlohmann::json& runs,
                             const std::string& workspace) {
  return TimesOf(runs, workspace, kRunAt);
}

std::vector<double> ArrivalTimes(const nlohmann::json& runs,
                                 const std::string& workspace) {
  return TimesOf(runs, workspace, kRunArrived);
}

double WorstOverrun(const std::vector<double>& times,
                    double rate,
                    double burst) {
  // The window from run i to run j holds j - i + 1 runs.
  double lowest = std::numeric_limits<double>::max();
  double worst = std::numeric_limits<double>::lowest();
  for (size_t j = 0; j < times.size(); ++j) {
    const double at = static_cast<double>(j) - rate * times[j];
    lowest = std::min(lowest, at);
    worst = std::max(worst, at + 1 - lowest - burst);
  }
  return worst;
}

double WorstSecond(const nlohmann::json& tenths) {
  constexpr size_t kWindow = 10;
  double worst = 0;
  for (size_t i = 0; i < tenths.size(); ++i) {
    double sum = 0;
    for (size_t k = i; k < std::min(tenths.size(), i + kWindow); ++k) {
      sum += tenths[k].get<double>();
    }
    worst = std::max(worst, sum);
  }
  return worst;
}

}  // namespace redwing::testing
