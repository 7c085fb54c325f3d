#ifndef REDWING_TESTING_FAKE_TARGET_FAKE_TARGET_H_
#define REDWING_TESTING_FAKE_TARGET_FAKE_TARGET_H_

#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "framework/http/http_handler.h"
#include "framework/http/http_server.h"
#include "framework/http/socket_registry.h"
#include "framework/kernel/kernel.h"
#include "framework/metrics/metrics.h"
#include "framework/settings/object_reader.h"
#include "testing/stall_recorder.h"

namespace redwing::testing {

// How a target behaves; set by control calls.
struct TargetBehaviour {
  // ok, error, truncate, truncate_chunked, lying_length, endless, mute, early,
  // undelimited
  std::string mode = "ok";
  Milliseconds service_time{5};
  int slots = 3;
  size_t queue = 64;
  // The first requests take cold_factor times as long.
  int cold_requests = 0;
  int cold_factor = 10;
  bool leaving = false;
  // Names the digest of each answer's body.
  bool digests = false;
};

// One run of a request, as the target saw it.
struct TargetRun {
  int64_t at_us = 0;
  std::string target;
  std::string token;
  std::string workspace;
  bool key_seen = false;
  bool finished = false;
  // Before it waited for a slot.
  int64_t arrived_us = 0;
};

class FakeTargetSite;

// Stand-in for targets: any number of them in one process, so that all runs are
// stamped by one clock.
class FakeTargets {
 public:
  static constexpr const char* kDescription = "Stand-in for targets.";

  FakeTargets(Kernel& kernel, ObjectReader& settings);
  ~FakeTargets();

  void Listen();

  Kernel& kernel() { return kernel_; }
  std::vector<TargetRun>& runs() { return runs_; }
  std::vector<std::unique_ptr<FakeTargetSite>>& sites() { return sites_; }
  TimePoint started() const { return started_; }
  const StallRecorder& stalls() const { return stalls_; }
  std::mt19937_64& random() { return random_; }

 private:
  friend class FakeTargetSite;

  Kernel& kernel_;
  Metrics metrics_;
  SocketRegistry sockets_;
  std::mt19937_64 random_;
  TimePoint started_;
  StallRecorder stalls_;
  std::vector<TargetRun> runs_;
  std::vector<std::unique_ptr<FakeTargetSite>> sites_;
};

// One target: slots, a queue before them, shedding beyond.
class FakeTargetSite : public HttpHandler {
 public:
  FakeTargetSite(FakeTargets& owner,
                 std::string name,
                 std::string listen,
                 TargetBehaviour behaviour);

  void Listen();
  const std::string& name() const { return name_; }
  std::string address() const;
  void SetBehaviour(const nlohmann::json& body);

  void Handle(HttpExchange& exchange, const Yield& yield) override;

 private:
  void HandleControl(HttpExchange& exchange, const Yield& yield);
  void Serve(HttpExchange& exchange, const Yield& yield);
  void Execute(HttpExchange& exchange, size_t run, const Yield& yield);
  // Takes the service time; false when the caller left meanwhile.
  bool Work(HttpExchange& exchange, const Yield& yield);
  void Answer(HttpExchange& exchange,
              const std::string& token,
              const Yield& yield);
  bool AcquireSlot(const Yield& yield);
  void ReleaseSlot();
  Milliseconds ServiceTime();
  int64_t SinceStart() const;

  FakeTargets& owner_;
  std::string name_;
  std::string listen_;
  TargetBehaviour behaviour_;
  HttpServer server_;
  int used_ = 0;
  int served_ = 0;
  std::deque<std::shared_ptr<Timer>> waiters_;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_FAKE_TARGET_FAKE_TARGET_H_
