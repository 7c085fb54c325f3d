// A store whose revision counter stands above 2^40. Exits with 1 if requests
// that were sent after the time to apply a new manifest are still handled as
// only the manifest before allows.

#include <fmt/format.h>

#include <exception>
#include <fstream>
#include <iostream>

#include "review/stand_ins_3/small_deployment.h"

namespace redwing::review {
namespace {

using nlohmann::json;

constexpr int kInstances = 4;
constexpr int kDeadlineMs = 1'500;
constexpr uint64_t kRevision = 1'800'000'000'000;
constexpr int64_t kConfigApplyMs = 2'500;
constexpr int kRequests = 400;
constexpr unsigned kUnknownRoute = 404;
constexpr std::chrono::milliseconds kPause{25};
constexpr std::chrono::seconds kListed{5};
constexpr std::chrono::seconds kWarm{6};

// Requests on the route of a service at all instances in turn.
std::map<unsigned, int> Ask(const SmallDeployment& deployment,
                            const std::string& service,
                            const std::string& prefix,
                            std::ofstream* record) {
  std::map<unsigned, int> statuses;
  for (int n = 0; n < kRequests; ++n) {
    const Sent sent =
        deployment.Send(n % kInstances, fmt::format("/{}/{}", service, n % 50),
                        fmt::format("{}-{}", prefix, n), "", kDeadlineMs);
    ++statuses[sent.status];
    *record << fmt::format("{} ms {} at {}: {}\n", sent.at, sent.id, sent.node,
                           sent.status);
    std::this_thread::sleep_for(kPause);
  }
  return statuses;
}

int Run(const std::string& record_path) {
  std::ofstream record(record_path);
  const json before = ManifestOf(1, {"lookup"}, json());
  SmallDeployment deployment(before, kRevision);
  for (const std::string service : {"lookup", "ledger"}) {
    for (int i = 0; i < 4; ++i) {
      UpstreamPlan plan;
      plan.id = fmt::format("{}-{}", service, i);
      plan.service = service;
      plan.zone = i % 2;
      deployment.AddUpstream(plan);
    }
  }
  // All upstreams are listed before the instances start.
  std::this_thread::sleep_for(kListed);
  deployment.StartInstances(kInstances);
  if (!deployment.AwaitReady()) {
    record << "the instances did not become ready\n";
    return kNotRun;
  }
  std::this_thread::sleep_for(kWarm);
  // The disruption: the manifest changes, a route and its service are added.
  if (WithTrouble()) {
    deployment.PutManifest(ManifestOf(2, {"lookup", "ledger"}, json()));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kConfigApplyMs));
  const std::map<unsigned, int> first =
      Ask(deployment, "lookup", "lookup", &record);
  const std::map<unsigned, int> added =
      WithTrouble() ? Ask(deployment, "ledger", "ledger", &record)
                    : std::map<unsigned, int>();
  for (const auto& [status, count] : first) {
    record << fmt::format("route of r1: status {} to {}\n", status, count);
  }
  for (const auto& [status, count] : added) {
    record << fmt::format("route added by r2: status {} to {}\n", status,
                          count);
  }
  if (first.count(200) == 0) {
    return kNotRun;
  }
  return added.count(kUnknownRoute) > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace redwing::review

int main(int argc, char** argv) {
  try {
    return argc == 2 ? redwing::review::Run(argv[1]) : redwing::review::kNotRun;
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << '\n';
    return redwing::review::kNotRun;
  }
}
