// What targets say of themselves in their answers, under load: that they leave,
// and that they want nothing for a while.

#include <fmt/format.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "framework/http/retry_after.h"
#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 4;
constexpr Milliseconds kStartLimit{15'000};
// Time within which requests may still reach a target that leaves.
constexpr Milliseconds kDrain{2'500};
// Of the route that is asked, in PlatformStandIn::Manifest().
constexpr Milliseconds kTargetLatency{500};
// Requests that may reach a target inside a time that it has asked for.
constexpr int kMostInsideBackoff = 2;

// Runs of the seeded case: two in CI, more by hand with REDWING_SEEDS.
int SeedCount() {
  constexpr int kInCi = 2;
  const char* const text = std::getenv("REDWING_SEEDS");
  return text == nullptr ? kInCi : std::max(1, std::atoi(text));
}

// Callers that ask all instances in turn, a number of requests a second.
class Load {
 public:
  Load(PlatformStandIn& fleet, const std::string& prefix) {
    for (int caller = 0; caller < kCallers; ++caller) {
      threads_.emplace_back([this, &fleet, prefix, caller]() {
        for (int i = 0; !stopped_; ++i) {
          const TimePoint sent = Clock::now();
          Note(fleet.Send((caller + i) % kInstances,
                          fmt::format("{}-{}-{}", prefix, caller, i)),
               sent);
          std::this_thread::sleep_for(kPause);
        }
      });
    }
  }
  ~Load() { Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }

  int answered() const { return answered_; }
  int refused() const { return refused_; }
  // Neither answered nor refused with a time to come back.
  int failed() const { return failed_; }
  // The part of all requests that was answered within the target latency.
  double PartInTime() const {
    return static_cast<double>(in_time_) / (answered_ + refused_ + failed_);
  }
  std::string last_failure() const { return last_failure_; }

 private:
  static constexpr int kCallers = 8;
  static constexpr Milliseconds kPause{60};

  void Note(const Result<HttpReply>& reply, TimePoint sent) {
    if (reply && reply.value().status == 200) {
      ++answered_;
      in_time_ += Clock::now() - sent <= kTargetLatency ? 1 : 0;
    } else if (reply && reply.value().status == 503 &&
               ParseRetryAfter(
                   StdView(reply.value().header[http::field::retry_after]))) {
      ++refused_;
    } else {
      ++failed_;
      const std::lock_guard<std::mutex> lock(mutex_);
      last_failure_ =
          reply ? fmt::format("{} {}", reply.value().status, reply.value().body)
                : reply.error().detail;
    }
  }

  std::atomic<bool> stopped_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> in_time_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> failed_ = 0;
  std::mutex mutex_;
  std::string last_failure_;
  std::vector<std::thread> threads_;
};

TEST_CASE("targets that leave get nothing more while the list cannot be read") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  Load load(fleet, "release");
  std::this_thread::sleep_for(Milliseconds(500));
  fleet.OnLoop([&]() { fleet.store().SetDown(true); });
  // One target of each region, one after the other.
  for (const size_t leaving : {0, 1}) {
    fleet.OnLoop([&]() { fleet.target(leaving).SetLeaving(true); });
    std::this_thread::sleep_for(kDrain + Milliseconds(1'500));
  }
  int late = 0;
  size_t runs = 0;
  fleet.OnLoop([&]() {
    for (const size_t left : {0, 1}) {
      late += fleet.target(left).ArrivedAfterLeaving(kDrain);
    }
    // The first starts anew; the list still holds what it said before.
    fleet.target(0).SetLeaving(false);
    fleet.store().SetDown(false);
    runs = fleet.target(0).runs().size();
  });
  CHECK(late == 0);
  std::this_thread::sleep_for(Milliseconds(1'500));
  size_t runs_after = 0;
  fleet.OnLoop([&]() {
    runs_after = fleet.target(0).runs().size();
    fleet.List(0, "ready", "svc", 2'000);
  });
  CHECK(runs_after == runs);
  CHECK(WaitUntil(
      [&]() {
        size_t now = 0;
        fleet.OnLoop([&]() { now = fleet.target(0).runs().size(); });
        return now > runs;
      },
      std::chrono::seconds(5)));
  load.Stop();
  CAPTURE(load.answered(), load.refused(), load.last_failure());
  CHECK(load.failed() == 0);
  // What is left has room for all.
  CHECK(load.refused() == 0);
}

// Replaces all targets, one after the other, under load; they say in their
// answers that they leave, or only in the list. Returns the part of the
// requests that was answered in time.
double PartInTimeDuringRelease(bool announced) {
  constexpr Milliseconds kServesOn{800};
  constexpr Milliseconds kPauseBetween{700};
  constexpr int64_t kNewStart = 2'000;
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  Load load(fleet, announced ? "announced" : "listed");
  std::this_thread::sleep_for(kPauseBetween);
  for (size_t i = 0; i < fleet.target_count(); ++i) {
    fleet.OnLoop([&]() {
      fleet.target(i).SetLeaving(announced);
      fleet.List(i, "draining");
    });
    std::this_thread::sleep_for(kServesOn);
    fleet.OnLoop([&]() {
      fleet.target(i).SetLeaving(false);
      fleet.List(i, "ready", "svc", kNewStart);
    });
    std::this_thread::sleep_for(kPauseBetween);
  }
  load.Stop();
  CAPTURE(announced, load.answered(), load.refused(), load.last_failure());
  CHECK(load.failed() == 0);
  return load.PartInTime();
}

TEST_CASE(
    "a release whose targets say that they leave serves as many in time") {
  // A single request may be late for want of a processor.
  constexpr double kNoise = 0.01;
  const double listed = PartInTimeDuringRelease(/*announced=*/false);
  const double announced = PartInTimeDuringRelease(/*announced=*/true);
  CAPTURE(listed, announced);
  CHECK(announced >= listed - kNoise);
}

TEST_CASE("targets that want nothing for a while get nothing") {
  const int seed = GENERATE(range(1, SeedCount() + 1));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> backoff_ms(200, 10'000);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  const auto set_backoffs = [&](size_t targets) {
    fleet.OnLoop([&]() {
      for (size_t i = 0; i < targets; ++i) {
        fleet.target(i).SetBackoff(Milliseconds(backoff_ms(random)));
      }
    });
  };
  // One of four: the others have room for all.
  Load some(fleet, "some");
  set_backoffs(1);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  some.Stop();
  CAPTURE(some.answered(), some.last_failure());
  CHECK(some.refused() == 0);
  CHECK(some.failed() == 0);
  // All: callers are refused at once, with a time to come back.
  set_backoffs(fleet.target_count());
  Load all(fleet, "all");
  std::this_thread::sleep_for(std::chrono::seconds(4));
  all.Stop();
  CAPTURE(all.answered(), all.refused(), all.last_failure());
  CHECK(all.failed() == 0);
  CHECK(all.refused() > 0);
  fleet.OnLoop([&]() {
    int turned_away = 0;
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      CAPTURE(i, fleet.target(i).turned_away());
      CHECK(fleet.target(i).most_inside_backoff() <= kMostInsideBackoff);
      turned_away += fleet.target(i).turned_away();
      fleet.target(i).SetBackoff(std::nullopt);
    }
    CHECK(turned_away > 0);
  });
  // They come back by themselves once their times have ended.
  CHECK(WaitUntil(
      [&]() {
        const Result<HttpReply> reply = fleet.Send(0, "again");
        return reply && reply.value().status == 200;
      },
      std::chrono::seconds(12)));
}

}  // namespace
}  // namespace redwing::testing
