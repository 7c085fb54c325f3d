#ifndef REDWING_TESTING_INTEGRATION_PLATFORM_LOAD_H_
#define REDWING_TESTING_INTEGRATION_PLATFORM_LOAD_H_

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "framework/http/retry_after.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {

// Runs of a seeded case: two in CI, more by hand with REDWING_SEEDS.
inline int SeedCount() {
  constexpr int kInCi = 2;
  const char* const text = std::getenv("REDWING_SEEDS");
  return text == nullptr ? kInCi : std::max(1, std::atoi(text));
}

// Callers that ask some instances in turn, a number of requests a second.
class Load {
 public:
  Load(PlatformStandIn& fleet,
       const std::vector<int>& instances,
       const std::string& prefix) {
    for (int caller = 0; caller < kCallers; ++caller) {
      threads_.emplace_back([this, &fleet, instances, prefix, caller]() {
        for (int i = 0; !stopped_; ++i) {
          const TimePoint sent = Clock::now();
          Note(fleet.Send(instances[(caller + i) % instances.size()],
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
  std::string last_refusal() const { return last_refusal_; }

 private:
  static constexpr int kCallers = 8;
  static constexpr Milliseconds kPause{60};
  // Of the route that is asked, in PlatformStandIn::Manifest().
  static constexpr Milliseconds kTargetLatency{500};

  void Note(const Result<HttpReply>& reply, TimePoint sent) {
    if (reply && reply.value().status == 200) {
      ++answered_;
      in_time_ += Clock::now() - sent <= kTargetLatency ? 1 : 0;
      return;
    }
    const bool refused = reply && reply.value().status == 503 &&
                         ParseRetryAfter(StdView(
                             reply.value().header[http::field::retry_after]));
    ++(refused ? refused_ : failed_);
    const std::lock_guard<std::mutex> lock(mutex_);
    (refused ? last_refusal_ : last_failure_) =
        reply ? fmt::format("{} {}", reply.value().status, reply.value().body)
              : reply.error().detail;
  }

  std::atomic<bool> stopped_ = false;
  std::atomic<int> answered_ = 0;
  std::atomic<int> in_time_ = 0;
  std::atomic<int> refused_ = 0;
  std::atomic<int> failed_ = 0;
  std::mutex mutex_;
  std::string last_failure_;
  std::string last_refusal_;
  std::vector<std::thread> threads_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_INTEGRATION_PLATFORM_LOAD_H_
