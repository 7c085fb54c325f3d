// A manifest lifts the allowance of a tenant. Exits with 1 if requests that
// were sent after the time to apply it are still refused by the allowance of
// the manifest before.

#include <fmt/format.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <mutex>

#include "review/stand_ins_3/small_deployment.h"

namespace redwing::review {
namespace {

using nlohmann::json;

constexpr int kInstances = 4;
constexpr int kCallers = 24;
constexpr int kDeadlineMs = 1'500;
// Bounds and settings of a small deployment.
constexpr int64_t kConfigApplyMs = 2'500;
constexpr double kRate = 20;
constexpr double kBurst = 20;
constexpr unsigned kOverAllowance = 429;
constexpr std::chrono::milliseconds kPause{100};
constexpr std::chrono::seconds kWarm{6};
constexpr std::chrono::seconds kLimited{6};
constexpr std::chrono::seconds kLifted{20};

json Tenants(bool limited) {
  return json::array({{"free", {"key-free"}, 1, nullptr, nullptr},
                      {"tenant",
                       {"key-tenant"},
                       1,
                       limited ? json(kRate) : json(),
                       limited ? json(kBurst) : json()}});
}

// Requests of one tenant by all instances in turn.
class Callers {
 public:
  Callers(const SmallDeployment& deployment, const std::string& tenant) {
    for (int caller = 0; caller < kCallers; ++caller) {
      threads_.emplace_back([this, &deployment, tenant, caller]() {
        for (int n = 0; !stopped_; ++n) {
          const Sent sent = deployment.Send(
              (caller + n) % kInstances, fmt::format("/svc/{}", n % 50),
              fmt::format("{}-{}-{}", tenant, caller, n), "key-" + tenant,
              kDeadlineMs);
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            sent_.push_back(sent);
          }
          std::this_thread::sleep_for(kPause);
        }
      });
    }
  }

  std::vector<Sent> Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
    return sent_;
  }

 private:
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<Sent> sent_;
  std::vector<std::thread> threads_;
};

struct Counts {
  int sent = 0;
  int served = 0;
  int refused = 0;
};

Counts CountFrom(const std::vector<Sent>& all, int64_t from, int64_t until) {
  Counts counts;
  for (const Sent& sent : all) {
    if (sent.at < from || sent.at >= until) {
      continue;
    }
    ++counts.sent;
    counts.served += sent.status == 200 ? 1 : 0;
    counts.refused += sent.status == kOverAllowance ? 1 : 0;
  }
  return counts;
}

int Run(const std::string& record_path) {
  std::ofstream record(record_path);
  SmallDeployment deployment(ManifestOf(1, {"svc"}, Tenants(WithTrouble())));
  for (int i = 0; i < 4; ++i) {
    UpstreamPlan plan;
    plan.id = fmt::format("i-{}", i);
    plan.service = "svc";
    plan.zone = i % 2;
    deployment.AddUpstream(plan);
  }
  deployment.StartInstances(kInstances);
  if (!deployment.AwaitReady()) {
    record << "the instances did not become ready\n";
    return kNotRun;
  }
  std::this_thread::sleep_for(kWarm);
  Callers tenant(deployment, "tenant");
  Callers free(deployment, "free");
  const int64_t begun = NowMs();
  std::this_thread::sleep_for(kLimited);
  deployment.PutManifest(ManifestOf(2, {"svc"}, Tenants(false)));
  const int64_t acknowledged = NowMs();
  std::this_thread::sleep_for(kLifted);
  const int64_t end = NowMs();
  const std::vector<Sent> of_tenant = tenant.Stop();
  const std::vector<Sent> of_free = free.Stop();
  const int64_t applied = acknowledged + kConfigApplyMs;
  const Counts before = CountFrom(of_tenant, begun, acknowledged);
  const Counts after = CountFrom(of_tenant, applied, end);
  const Counts other = CountFrom(of_free, applied, end);
  const auto line = [&record](const char* who, const char* when,
                              const Counts& counts) {
    record << fmt::format("{}, {}: sent {}, 200 {}, 429 {}\n", who, when,
                          counts.sent, counts.served, counts.refused);
  };
  record << fmt::format("allowance in r1: {}; none in r2\n",
                        WithTrouble() ? "20 a second, burst 20" : "none");
  line("tenant", "under r1", before);
  line("tenant", "sent later than configApply after the ack of r2", after);
  line("free", "sent later than configApply after the ack of r2", other);
  for (const Sent& sent : of_tenant) {
    record << fmt::format("{} ms {} at {}: {}\n", sent.at - acknowledged,
                          sent.id, sent.node, sent.status);
  }
  if (after.sent == 0 || other.served == 0) {
    return kNotRun;
  }
  return after.refused > 0 ? kBroken : kHeld;
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
