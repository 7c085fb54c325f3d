#include "testing/harness/windows.h"

#include <algorithm>
#include <limits>

namespace redwing::testing {

namespace {
// Fields of a run as FakeTargets lists it.
constexpr size_t kRunAt = 0;
constexpr size_t kRunWorkspace = 3;
constexpr size_t kRunArrived = 6;
constexpr double kMicrosecondsPerSecond = 1e6;

std::vector<double> TimesOf(const nlohmann::json& runs,
                            const std::string& workspace,
                            size_t field) {
  std::vector<double> times;
  for (const nlohmann::json& run : runs) {
    if (run.at(kRunWorkspace) == workspace) {
      times.push_back(run.at(field).get<double>() / kMicrosecondsPerSecond);
    }
  }
  std::sort(times.begin(), times.end());
  return times;
}

// Returns when a request with the stamp `time` may have come.
double EarliestTime(double time, const std::vector<Stall>& stalls) {
  // What piled up in a stall takes a few turns of the event loop.
  constexpr double kSettleTime = 0.02;  // seconds
  double earliest = time;
  for (const Stall& stall : stalls) {
    if (stall.begun < time && time <= stall.ended + kSettleTime) {
      earliest = std::min(earliest, stall.begun);
    }
  }
  return earliest;
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

std::vector<Stall> ReadStalls(const nlohmann::json& at_targets,
                              const nlohmann::json& at_proxy) {
  const double started = at_targets.at("started_us");
  std::vector<Stall> stalls;
  for (const nlohmann::json* const reply : {&at_targets, &at_proxy}) {
    for (const nlohmann::json& stall : reply->at("stalls")) {
      const double begun = stall.at(0);
      const double ended = stall.at(1);
      stalls.push_back({(begun - started) / kMicrosecondsPerSecond,
                        (ended - started) / kMicrosecondsPerSecond});
    }
  }
  return stalls;
}

double WorstOverrun(const std::vector<double>& times,
                    double rate,
                    double burst,
                    const std::vector<Stall>& stalls) {
  // The window from run i to run j holds j - i + 1 runs.
  double lowest = std::numeric_limits<double>::max();
  double worst = std::numeric_limits<double>::lowest();
  for (size_t j = 0; j < times.size(); ++j) {
    const double index = static_cast<double>(j);
    lowest = std::min(lowest, index - rate * EarliestTime(times[j], stalls));
    worst = std::max(worst, index - rate * times[j] + 1 - lowest - burst);
  }
  return worst;
}

double LongestStall(const std::vector<Stall>& stalls) {
  double longest = 0;
  for (const Stall& stall : stalls) {
    longest = std::max(longest, stall.ended - stall.begun);
  }
  return longest;
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
