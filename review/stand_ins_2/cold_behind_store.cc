// An upstream becomes cold while the store is down; only its health answers
// say so.

#include <fmt/format.h>

#include <algorithm>

#include "review/stand_ins_2/callers.h"

namespace redwing::review {
namespace {

constexpr int kInstances = 4;
constexpr Milliseconds kStartLimit{20'000};
constexpr Milliseconds kPause{20};
constexpr int kCallers = 8;
constexpr Milliseconds kCalm{4'000};
constexpr Milliseconds kDownBefore{1'000};
constexpr Milliseconds kCold{3'000};
constexpr Milliseconds kDownAfter{2'000};
constexpr Milliseconds kEnd{2'000};
// Counted from this long after the upstream became cold.
constexpr Milliseconds kNotice{1'000};
constexpr Milliseconds kWindow{1'000};
constexpr double kWarmupPerS = 2.6;
// Bounds `warmupOverage` and `warmupSlack`.
constexpr double kAllowed = kWarmupPerS * 1.5 + 5;

int Run(const std::string& record) {
  Fleet fleet(2, kInstances, {{"svc", 0}, {"svc", 1}, {"svc", 0}, {"svc", 1}});
  nlohmann::json manifest = Fleet::Manifest(
      1, {"svc"}, {{"/transfer/", "unsafe", "svc"}}, {{"key-one"}});
  manifest["services"]["rows"][0].back() = kWarmupPerS;
  fleet.OnLoop([&]() { fleet.store().Put("config", "main", manifest); });
  for (int i = 0; i < kInstances; ++i) {
    fleet.Start(i);
  }
  if (!fleet.AwaitReady(kStartLimit)) {
    return kCouldNotRun;
  }
  std::vector<std::pair<TimePoint, std::string>> notes;
  Callers callers(fleet, kCallers, kPause, [&](int caller, int request) {
    return Ask{(caller + request) % kInstances, "POST", "/transfer/1",
               "key-one"};
  });
  std::this_thread::sleep_for(kCalm);
  if (HasTrouble()) {
    notes.emplace_back(Clock::now(), "store: down");
    fleet.SetStoreDown(true);
  }
  std::this_thread::sleep_for(kDownBefore);
  const TimePoint cold = Clock::now();
  fleet.OnLoop([&]() {
    fleet.target(0).BecomeCold(kCold);
    if (!HasTrouble()) {
      fleet.WriteEntries();
    }
  });
  notes.emplace_back(cold, "cold: " + fleet.target(0).id());
  std::this_thread::sleep_for(kCold + kDownAfter);
  if (HasTrouble()) {
    notes.emplace_back(Clock::now(), "store: up");
    fleet.SetStoreDown(false);
  }
  std::this_thread::sleep_for(kEnd);
  const std::vector<Sent> sent = callers.Stop();
  WriteRecord(record, fleet, sent, notes);
  std::vector<TimePoint> arrivals;
  int probes = 0;
  fleet.OnLoop([&]() {
    probes = fleet.target(0).health_probes();
    for (const TimePoint at : fleet.target(0).arrivals()) {
      if (at > cold + kNotice && at <= cold + kCold) {
        arrivals.push_back(at);
      }
    }
  });
  size_t most = 0;
  for (size_t first = 0, last = 0; last < arrivals.size(); ++last) {
    while (arrivals[last] - arrivals[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  fmt::print(
      "sent {} most in one second while cold {} allowed {:.1f}; {} "
      "health probes\n",
      sent.size(), most, kAllowed, probes);
  return most > kAllowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace redwing::review

// The argument is the path of record.txt.
int main(int argc, char** argv) {
  return argc == 2 ? redwing::review::Run(argv[1])
                   : redwing::review::kCouldNotRun;
}
