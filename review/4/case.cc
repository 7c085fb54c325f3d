// An entry of another writer among the upstreams, whose bytes cannot be read.

#include "stand_ins/deployment.h"
#include "stand_ins/record.h"

namespace review {
namespace {

// Bounds of the deployment, in seconds.
constexpr double kDrain = 2.5;
constexpr double kContact = 4;

Outcome Play() {
  Deployment deployment;
  Store& store = deployment.store();
  deployment.AddUpstreams(12, 12);
  store.Put("config", "main", Deployment::Manifest(3, {"key-aa"}));
  deployment.AddMachines(6);
  if (!deployment.AwaitReady(20)) {
    return kCannotRun;
  }
  Sleep(3);
  if (Deployment::WithTrouble()) {
    store.AddRaw("servers",
                 "{\"metadata\":{\"name\":\"other\",\"revision\":90},"
                 "\"spec\":\"\xfe\xff\xc3\x28\"}");
    Record::Say("an entry whose bytes are no UTF-8 is among the servers");
  }
  Sleep(kContact + 1);
  Upstream& leaving = *deployment.upstreams()[0];
  leaving.Drain();
  const double acknowledged = Now();
  Record::Say("the store has accepted that {} is draining", leaving.id());
  // No request reaches it meanwhile, so that only the store tells.
  Sleep(kDrain + 1);
  const double from = Now();
  int late = 0;
  int served = 0;
  for (int i = 0; i < 120; ++i) {
    Machine& machine = *deployment.machines()[i % 6];
    served +=
        deployment.Send(machine, fmt::format("late-{}", i), "key-aa").status ==
                200
            ? 1
            : 0;
  }
  for (const Run& run : leaving.runs()) {
    late += run.at >= from ? 1 : 0;
  }
  Record::Say(
      "later than {:.1f} s after the ack, {} of {} requests ran at the "
      "upstream that leaves",
      from - acknowledged, late, served);
  if (served == 0) {
    return kCannotRun;
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(argc, argv, review::Play);
}
