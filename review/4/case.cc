// A planned stop while upstreams work on requests that have time left.

#include <signal.h>

#include <atomic>
#include <thread>

#include "stand_ins/deployment.h"
#include "stand_ins/record.h"

namespace review {
namespace {

constexpr double kGrace = 6;  // terms.bounds.grace

// Requests of one route, sent at the same time.
struct Group {
  const char* name;
  bool safe;
  int deadline_ms;
  // Relative to the SIGTERM, in seconds.
  double sent_at;
  double work;
};
// After the kinds spice-lookup of resipi-sosej, whose route's timeout is its
// deadline, and season-pull of potreg-east.
constexpr Group kGroups[] = {{"lookup", true, 4000, 1.75, 2.9},
                             {"pull", false, 8000, -0.15, 4.7}};
constexpr int kRequests = 4;  // of each group

Outcome Play() {
  Deployment deployment;
  deployment.AddUpstreams(12, 12);
  nlohmann::json manifest = Deployment::Manifest(3, {"key-aa"});
  for (nlohmann::json& row : manifest["routes"]["rows"]) {
    row[4] = row[3] == "safe" ? "4000ms" : "8000ms";
  }
  deployment.store().Put("config", "main", manifest);
  deployment.AddMachines(6);
  if (!deployment.AwaitReady(20)) {
    return kCannotRun;
  }
  Sleep(3);
  for (size_t i = 0; i < deployment.upstreams().size(); ++i) {
    deployment.upstreams()[i]->SetWork(kGroups[i < 12 ? 0 : 1].work);
  }
  // One machine is stopped as the platform stops it.
  Machine& stopped = *deployment.machines()[0];
  const double signalled = Now() + 1;
  std::vector<std::thread> clients;
  std::vector<Answer> answers(2 * kRequests);
  for (int i = 0; i < 2 * kRequests; ++i) {
    const Group& group = kGroups[i / kRequests];
    clients.emplace_back([&, i]() {
      Sleep(signalled + group.sent_at - Now());
      answers[i] = deployment.Send(stopped, fmt::format("{}-{}", group.name, i),
                                   "key-aa", group.safe, group.deadline_ms);
    });
  }
  Sleep(signalled - Now());
  if (Deployment::WithTrouble()) {
    stopped.Signal(SIGTERM);
    while (stopped.Running() && Now() < signalled + kGrace) {
      Sleep(0.01);
    }
    Record::Say("the process ended {:.2f} s after SIGTERM; grace is {} s",
                Now() - signalled, kGrace);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int passed_on = 0;
  int cut = 0;
  for (int i = 0; i < 2 * kRequests; ++i) {
    const Group& group = kGroups[i / kRequests];
    const std::string id = fmt::format("{}-{}", group.name, i);
    const bool ran = deployment.RunsOf(id) > 0;
    const bool whole =
        answers[i].status == 200 && answers[i].message.body == "ran " + id;
    passed_on += ran ? 1 : 0;
    // Where an upstream ran it, its answer was due before the last sixth of
    // the grace time, before the deadline and before the route's timeout.
    cut += ran && !whole ? 1 : 0;
    Record::Say("{}, sent {:.2f} s after SIGTERM: {}, {} {:.2f} s after it", id,
                answers[i].sent - signalled,
                ran ? "an upstream worked on it" : "not passed on",
                whole ? "answered" : "ended without its answer",
                answers[i].ended - signalled);
  }
  Record::Say(
      "{} requests were passed on; {} of them ended without a complete "
      "answer",
      passed_on, cut);
  if (passed_on == 0) {
    return kCannotRun;
  }
  return cut > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunCase(argc, argv, review::Play);
}
