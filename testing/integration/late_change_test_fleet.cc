// Changes of the platform's configuration that could come into force late: the
// store's connections fall silent, or an instance has more callers than its
// processor can handle.

#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>
#include <vector>

#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr int kInstances = 4;
constexpr Milliseconds kStartLimit{15'000};
// A change must be in force by then where the store is well.
constexpr Milliseconds kChangeLimit{2'000};
// After its connections were disturbed an instance has this long before it must
// keep the limit again: the deployment's `contact`.
constexpr Milliseconds kContact{3'000};

// A manifest in which the key of the first workspace is another one.
json ManifestWithKey(int version, const std::string& key) {
  json manifest = PlatformStandIn::Manifest(version);
  manifest["tenants"]["rows"][0][1] = {key};
  return manifest;
}

// Returns with which status an instance decides on a request with a key, once
// it does not refuse it for want of room or time; 0 when it never does.
unsigned DecidedStatus(PlatformStandIn& fleet,
                       int instance,
                       const std::string& key) {
  constexpr int kTries = 100;
  for (int i = 0; i < kTries; ++i) {
    const Result<HttpReply> reply =
        fleet.Send(instance, fmt::format("{}-{}-{}", key, instance, i),
                   http::verb::get, "/safe/1", key);
    if (reply && reply.value().status != 503) {
      return reply.value().status;
    }
  }
  return 0;
}

// Lets a process run for a part of each tenth of a second only.
class Throttle {
 public:
  Throttle(Process& process, Milliseconds running)
      : process_(process), running_(running), thread_([this]() { Run(); }) {}
  ~Throttle() {
    stopped_ = true;
    thread_.join();
  }
  Throttle(const Throttle&) = delete;
  Throttle& operator=(const Throttle&) = delete;

 private:
  static constexpr Milliseconds kPeriod{100};

  void Run() {
    while (!stopped_) {
      process_.Signal(SIGSTOP);
      std::this_thread::sleep_for(kPeriod - running_);
      process_.Signal(SIGCONT);
      std::this_thread::sleep_for(running_);
    }
  }

  Process& process_;
  Milliseconds running_;
  std::atomic<bool> stopped_ = false;
  std::thread thread_;
};

// Callers that each ask one instance again as soon as they have an answer.
class PressingCallers {
 public:
  PressingCallers(PlatformStandIn& fleet, int instance, int callers) {
    for (int caller = 0; caller < callers; ++caller) {
      threads_.emplace_back([this, &fleet, instance, caller]() {
        for (int i = 0; !stopped_; ++i) {
          const Result<HttpReply> reply =
              fleet.Send(instance, fmt::format("press-{}-{}", caller, i),
                         http::verb::get, "/safe/1", "key-pressing");
          answered_ += reply ? 1 : 0;
        }
      });
    }
  }
  ~PressingCallers() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  PressingCallers(const PressingCallers&) = delete;
  PressingCallers& operator=(const PressingCallers&) = delete;

  int answered() const { return answered_; }

 private:
  std::atomic<bool> stopped_ = false;
  std::atomic<int> answered_ = 0;
  std::vector<std::thread> threads_;
};

TEST_CASE("a change is in force in time although open watches fell silent") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  for (int round = 0; round < 3; ++round) {
    CAPTURE(round);
    // By then watches wait again.
    std::this_thread::sleep_for(kChangeLimit);
    const std::string key = fmt::format("key-{}", round);
    fleet.OnLoop([&]() {
      fleet.store().SilenceOpenWatches();
      fleet.store().Put("config", "main", ManifestWithKey(9 + round, key));
    });
    std::this_thread::sleep_for(kContact + kChangeLimit);
    for (int i = 0; i < kInstances; ++i) {
      CAPTURE(i);
      CHECK(DecidedStatus(fleet, i, key) == 200);
    }
  }
}

TEST_CASE("a change is in force in time where callers press a slow machine") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  constexpr int kCallers = 48;
  constexpr Milliseconds kRunning{15};
  const Throttle throttle(fleet.instance(0), kRunning);
  const PressingCallers callers(fleet, 0, kCallers);
  for (int round = 0; round < 5; ++round) {
    const std::string key = fmt::format("key-{}", round);
    fleet.PutManifest(ManifestWithKey(9 + round, key));
    std::this_thread::sleep_for(kChangeLimit);
    CAPTURE(round, callers.answered());
    CHECK(DecidedStatus(fleet, 0, key) == 200);
  }
  CHECK(callers.answered() > kCallers);
}

}  // namespace
}  // namespace redwing::testing
