// The upstreams of a service crash in one zone and start again, cold, under the
// ids that they had. Exits with 1 if one of them gets more requests in a second
// than a cold upstream bears.

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <fstream>
#include <iostream>
#include <mutex>

#include "review/stand_ins_3/small_deployment.h"

namespace redwing::review {
namespace {

constexpr int kInstances = 4;
constexpr int kCallers = 16;
constexpr int kUpstreamsPerZone = 3;
constexpr int kDeadlineMs = 1'500;
constexpr int kWarmUpMs = 3'000;
// warmupPerS x warmupOverage + warmupSlack, as on potreg-east.
constexpr double kBound = 2.6 * 1.5 + 5;
constexpr int64_t kSecondMs = 1'000;
constexpr int kCrashes = 5;
constexpr std::chrono::milliseconds kPause{25};
constexpr std::chrono::milliseconds kDown{700};
constexpr std::chrono::seconds kWarm{6};
constexpr std::chrono::seconds kBetween{10};

struct Request {
  int64_t at = 0;
  unsigned status = 0;
};

// Requests to the instances of zone 0.
class Callers {
 public:
  explicit Callers(const SmallDeployment& deployment) {
    for (int caller = 0; caller < kCallers; ++caller) {
      threads_.emplace_back([this, &deployment, caller]() {
        for (int n = 0; !stopped_; ++n) {
          // Instances with even numbers are in zone 0.
          const int instance = (caller + n) % 2 * 2;
          const Sent sent = deployment.Send(
              instance, fmt::format("/lookup/{}", (caller * 7 + n) % 60),
              fmt::format("{}-{}", caller, n), "", kDeadlineMs);
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            sent_[sent.id] = {sent.at, sent.status};
          }
          std::this_thread::sleep_for(kPause);
        }
      });
    }
  }

  std::map<std::string, Request> Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    return sent_;
  }

 private:
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::map<std::string, Request> sent_;
  std::vector<std::thread> threads_;
};

// Most requests that were sent and arrived inside one second while the
// upstream that started at `start` was cold.
int MostInOneSecond(const std::vector<Arrival>& arrivals,
                    const std::map<std::string, Request>& sent,
                    int64_t start) {
  int most = 0;
  for (const Arrival& first : arrivals) {
    const int64_t end = first.at + kSecondMs;
    if (first.upstream_started != start || end > start + kWarmUpMs) {
      continue;
    }
    int count = 0;
    for (const Arrival& arrival : arrivals) {
      const auto request = sent.find(arrival.request_id);
      count += arrival.upstream_started == start && arrival.at >= first.at &&
                       arrival.at < end && request != sent.end() &&
                       request->second.at >= first.at
                   ? 1
                   : 0;
    }
    most = std::max(most, count);
  }
  return most;
}

int Run(const std::string& record_path) {
  std::ofstream record(record_path);
  SmallDeployment deployment(
      ManifestOf(1, {"lookup", "ledger"}, nlohmann::json()));
  std::vector<std::string> crashing;
  for (int zone = 0; zone < 2; ++zone) {
    for (int i = 0; i < kUpstreamsPerZone; ++i) {
      UpstreamPlan plan;
      plan.id = fmt::format("lookup-{}-{}", zone, i);
      plan.service = "lookup";
      plan.zone = zone;
      plan.warm_up_ms = kWarmUpMs;
      deployment.AddUpstream(plan);
      if (zone == 0) {
        crashing.push_back(plan.id);
      }
      plan.id = fmt::format("ledger-{}-{}", zone, i);
      plan.service = "ledger";
      deployment.AddUpstream(plan);
    }
  }
  deployment.StartInstances(kInstances);
  if (!deployment.AwaitReady()) {
    record << "the instances did not become ready\n";
    return kNotRun;
  }
  std::this_thread::sleep_for(kWarm);
  const int64_t begun = NowMs();
  Callers callers(deployment);
  for (int crash = 0; crash < kCrashes; ++crash) {
    std::this_thread::sleep_for(kBetween);
    if (!WithTrouble()) {
      continue;
    }
    for (const std::string& id : crashing) {
      deployment.KillUpstream(id);
    }
    record << fmt::format("{} ms: {} upstreams killed\n", NowMs() - begun,
                          crashing.size());
    std::this_thread::sleep_for(kDown);
    for (const std::string& id : crashing) {
      deployment.StartUpstream(id);
    }
  }
  std::this_thread::sleep_for(kBetween);
  const std::map<std::string, Request> sent = callers.Stop();
  std::map<unsigned, int> statuses;
  for (const auto& [id, request] : sent) {
    ++statuses[request.status];
  }
  for (const auto& [status, count] : statuses) {
    record << fmt::format("answers with status {}: {}\n", status, count);
  }
  std::string requests;
  for (const auto& [id, request] : sent) {
    requests += fmt::format("{}: sent at {} ms, status {}\n", id,
                            request.at - begun, request.status);
  }
  bool broken = false;
  for (const std::string& id : crashing) {
    const std::vector<Arrival> arrivals = deployment.ArrivalsAt(id);
    record << fmt::format("{}: {} requests arrived\n", id, arrivals.size());
    for (const int64_t start : deployment.StartsOf(id)) {
      if (start < begun) {
        continue;
      }
      const int most = MostInOneSecond(arrivals, sent, start);
      broken = broken || most > kBound;
      record << fmt::format(
          "{}: started at {} ms; most in one second while cold {}, bound {}\n",
          id, start - begun, most, kBound);
    }
  }
  record << "\nRequests, with the status of the answer (0: none):\n"
         << requests << "\nArrivals at the upstreams that crash:\n";
  for (const std::string& id : crashing) {
    for (const Arrival& arrival : deployment.ArrivalsAt(id)) {
      record << fmt::format("{}, started at {} ms: {} at {} ms\n", id,
                            arrival.upstream_started - begun,
                            arrival.request_id, arrival.at - begun);
    }
  }
  return broken ? kBroken : kHeld;
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
