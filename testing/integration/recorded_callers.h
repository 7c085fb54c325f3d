#ifndef REDWING_TESTING_INTEGRATION_RECORDED_CALLERS_H_
#define REDWING_TESTING_INTEGRATION_RECORDED_CALLERS_H_

#include <fmt/format.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {

// What a caller was told of a request.
struct Told {
  std::string id;
  bool posted = false;
  // 0: the connection ended without an answer.
  unsigned status = 0;
  std::string body;
};

// Callers of all instances, without a pause between their requests. Two of
// three requests are posted to the route for requests that run once.
class RecordedCallers {
 public:
  RecordedCallers(PlatformStandIn& fleet, int instances, int callers) {
    for (int caller = 0; caller < callers; ++caller) {
      threads_.emplace_back([this, &fleet, instances, caller]() {
        for (int i = 0; !stopped_; ++i) {
          const bool posted = i % 3 != 0;
          const std::string id = fmt::format("k-{}-{}", caller, i);
          const Result<HttpReply> reply =
              fleet.Send((caller + i) % instances, id,
                         posted ? http::verb::post : http::verb::get,
                         posted ? "/unsafe/1" : "/safe/1");
          const std::lock_guard<std::mutex> lock(mutex_);
          told_.push_back({id, posted, reply ? reply.value().status : 0,
                           reply ? reply.value().body : ""});
        }
      });
    }
  }
  ~RecordedCallers() { Stop(); }
  RecordedCallers(const RecordedCallers&) = delete;
  RecordedCallers& operator=(const RecordedCallers&) = delete;

  const std::vector<Told>& Stop() {
    stopped_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return told_;
  }

 private:
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::vector<Told> told_;
  std::vector<std::thread> threads_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_INTEGRATION_RECORDED_CALLERS_H_
