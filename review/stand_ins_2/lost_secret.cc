// A drill soon after the fleet's first start takes the secret that the
// processes share; later one process is killed and started again.

#include <fmt/format.h>

#include <map>

#include "review/stand_ins_2/callers.h"

namespace redwing::review {
namespace {

constexpr int kInstances = 4;
constexpr Milliseconds kStartLimit{20'000};
constexpr Milliseconds kPause{20};
constexpr int kCallers = 8;
// From the copy, which is taken before the processes start, to the drill.
constexpr Milliseconds kCopyAge{5'000};
constexpr Milliseconds kAway{1'000};
constexpr Milliseconds kBeforeKill{6'000};
constexpr Milliseconds kEnd{12'000};
constexpr int kKilled = 1;
// DENIED: five and one in 500 of all requests.
constexpr int kFreeRefusals = 5;
constexpr int kRequestsPerRefusal = 500;

int Run(const std::string& record) {
  Fleet fleet(2, kInstances, {{"svc", 0}, {"svc", 1}});
  fleet.OnLoop([&]() {
    fleet.store().Put(
        "config", "main",
        Fleet::Manifest(1, {"svc"}, {{"/transfer/", "unsafe", "svc"}},
                        {{"key-one"}}));
    fleet.store().KeepCopy();
  });
  const TimePoint copied = Clock::now();
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
  std::this_thread::sleep_until(copied + kCopyAge);
  if (HasTrouble()) {
    notes.emplace_back(Clock::now(), "store: away");
    fleet.SetStoreDown(true);
    std::this_thread::sleep_for(kAway);
    fleet.RestoreStore();
    notes.emplace_back(Clock::now(), "store: back from the copy");
  }
  std::this_thread::sleep_for(kBeforeKill);
  notes.emplace_back(Clock::now(), fmt::format("killed: front-{}", kKilled));
  fleet.process(kKilled).Kill();
  fleet.Start(kKilled);
  std::this_thread::sleep_for(kEnd);
  const std::vector<Sent> sent = callers.Stop();
  WriteRecord(record, fleet, sent, notes);
  // Counted at the machines that were not killed: these are in touch.
  int refused = 0;
  std::map<unsigned, int> statuses;
  for (const Sent& request : sent) {
    ++statuses[request.status];
    refused += request.instance != kKilled && request.status == 400 ? 1 : 0;
  }
  const int allowed =
      kFreeRefusals + static_cast<int>(sent.size()) / kRequestsPerRefusal;
  fmt::print("sent {} answered 400 by machines in touch {} allowed {};",
             sent.size(), refused, allowed);
  for (const auto& [status, count] : statuses) {
    fmt::print(" {}: {}", status, count);
  }
  fmt::print("\n");
  return refused > allowed ? kBroken : kHeld;
}

}  // namespace
}  // namespace redwing::review

// The argument is the path of record.txt.
int main(int argc, char** argv) {
  return argc == 2 ? redwing::review::Run(argv[1])
                   : redwing::review::kCouldNotRun;
}
