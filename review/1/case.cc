// The store comes back from a copy some seconds old; then the operator takes a
// key away.

#include <atomic>
#include <thread>

#include "stand_ins/deployment.h"
#include "stand_ins/record.h"

namespace review {
namespace {

// Bounds of the deployment, in seconds.
constexpr double kContact = 4;
constexpr double kConfigApply = 2.5;
constexpr double kMaxStretch = 6;
// The copy is this old when the store comes back from it.
constexpr double kCopyAge = 6;
constexpr double kAway = 1;

Outcome Play() {
  Deployment deployment;
  Store& store = deployment.store();
  deployment.AddUpstreams(12, 12);
  store.Put("config", "main", Deployment::Manifest(3, {"key-aa", "key-bb"}));
  deployment.AddMachines(6);
  if (!deployment.AwaitReady(20)) {
    return kCannotRun;
  }
  Sleep(3);
  store.Copy();
  Record::Say("the store's copy is made at revision {}", store.revision());
  Sleep(kCopyAge - kAway - 1);
  const nlohmann::json second =
      Deployment::Manifest(5, {"key-aa", "key-bb", "key-cc"});
  Record::Say("manifest r5 (one more key) is acknowledged at revision {}",
              store.Put("config", "main", second));
  Sleep(1);
  if (Deployment::WithTrouble()) {
    store.SetAway(true);
    Record::Say("the store is away");
    Sleep(kAway);
    store.Restore();
    store.SetAway(false);
    Record::Say("the store is back from its copy, at revision {}",
                store.revision());
  } else {
    Sleep(kAway);
  }
  // What the operator and the upstreams wrote is written again.
  store.Put("config", "main", second);
  for (const std::unique_ptr<Upstream>& upstream : deployment.upstreams()) {
    upstream->Beat();
  }
  Sleep(1);
  const uint64_t ack = store.Put("config", "main",
                                 Deployment::Manifest(9, {"key-aa", "key-cc"}));
  const double acknowledged = Now();
  Record::Say(
      "manifest r9 (without the key \"key-bb\") is acknowledged at "
      "revision {}",
      ack);
  const double from =
      acknowledged + std::max(kContact, kConfigApply + kMaxStretch) + 1;
  int sent = 0;
  int ran = 0;
  int other = 0;
  for (double until = from + 12; Now() < until;) {
    Sleep(Now() < from ? from - Now() : 0.25);
    for (const std::unique_ptr<Machine>& machine : deployment.machines()) {
      const std::string id = fmt::format("after-{}", ++sent);
      const Answer answer =
          deployment.Send(*machine, id, "key-bb", sent % 2 == 0);
      ran += deployment.RunsOf(id);
      other +=
          deployment.Send(*machine, id + "-staying", "key-aa").status == 200
              ? 0
              : 1;
      if (answer.status == 0) {
        Record::Line("no answer: {}", answer.error);
      }
    }
  }
  Record::Say(
      "later than {:.1f} s after the ack, {} requests were sent with "
      "the key that r9 took away; {} of them ran",
      from - acknowledged, sent, ran);
  Record::Say("{} of {} requests with a key that stays were not served", other,
              sent);
  if (other > sent / 10) {
    return kCannotRun;
  }
  return ran > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(argc, argv, review::Play);
}
