// A planned stop while an upstream works on a request that has time left.

#include <signal.h>

#include <atomic>
#include <thread>

#include "stand_ins/deployment.h"
#include "stand_ins/record.h"

namespace review {
namespace {

// Bounds of the deployment, in seconds.
constexpr double kGrace = 6;
// The site's season-pull: longest work and deadline.
constexpr double kWork = 4.7;
constexpr int kDeadlineMs = 8000;
constexpr int kRequests = 6;

Outcome Play() {
  Deployment deployment;
  deployment.AddUpstreams(12, 12);
  deployment.store().Put("config", "main",
                         Deployment::Manifest(3, {"key-aa"}, "8000ms"));
  deployment.AddMachines(6);
  if (!deployment.AwaitReady(20)) {
    return kCannotRun;
  }
  Sleep(3);
  for (const std::unique_ptr<Upstream>& upstream : deployment.upstreams()) {
    upstream->SetWork(kWork);
  }
  // One machine is stopped as the platform stops it. Its requests are sent
  // just before.
  Machine& stopped = *deployment.machines()[0];
  std::vector<std::thread> clients;
  std::vector<Answer> answers(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i]() {
      answers[i] = deployment.Send(stopped, fmt::format("pull-{}", i), "key-aa",
                                   i % 2 == 0, kDeadlineMs);
    });
  }
  Sleep(0.15);
  const double signalled = Now();
  if (Deployment::WithTrouble()) {
    stopped.Signal(SIGTERM);
  }
  while (Deployment::WithTrouble() && stopped.Running() &&
         Now() < signalled + kGrace) {
    Sleep(0.01);
  }
  if (Deployment::WithTrouble()) {
    Record::Say("the process ended {:.2f} s after SIGTERM; grace is {} s",
                Now() - signalled, kGrace);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  int passed_on = 0;
  int cut = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = fmt::format("pull-{}", i);
    const bool ran = deployment.RunsOf(id) > 0;
    const bool whole =
        answers[i].status == 200 && answers[i].message.body == "ran " + id;
    passed_on += ran ? 1 : 0;
    cut += ran && !whole ? 1 : 0;
    Record::Say("{}: {}, {} after SIGTERM {:.2f} s", id,
                ran ? "an upstream worked on it" : "not passed on",
                whole ? "answered" : "ended without its answer",
                answers[i].ended - signalled);
  }
  Record::Say(
      "{} requests were passed on before SIGTERM; {} of them ended "
      "without a complete answer",
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
