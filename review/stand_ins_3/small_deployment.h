#ifndef REDWING_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_
#define REDWING_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins_3/store.h"

namespace redwing::review {

// Exit codes of the scripts.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// Returns the milliseconds of the clock that all processes of a case share.
int64_t NowMs();

// Returns whether the case runs with its disruption.
bool WithTrouble();

// Child process; ends with the object at the latest.
class ChildProcess {
 public:
  // Starts a program; `environment` holds "NAME=value". Output goes to `log`.
  ChildProcess(const std::vector<std::string>& command,
               const std::vector<std::string>& environment,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Kill();
  bool running() const { return pid_ > 0; }

 private:
  pid_t pid_ = -1;
};

// What an upstream of a case is started with.
struct UpstreamPlan {
  std::string id;
  std::string service;
  // Number of its zone, which is also that of its region.
  int zone = 0;
  int slots = 8;
  int run_ms = 25;
  int warm_up_ms = 3'000;
};

// One arrival of a request at an upstream.
struct Arrival {
  std::string request_id;
  int64_t at = 0;
  // Start of the upstream's process.
  int64_t upstream_started = 0;
};

// What a client sent and got.
struct Sent {
  int64_t at = 0;
  int64_t ended_at = 0;
  // 0 without an answer.
  unsigned status = 0;
  std::string id;
  std::string node;
};

// A small deployment on loopback addresses: the store's stand-in on a thread of
// this process, entry instances and upstreams as processes of their own. Two
// regions with one zone each.
class SmallDeployment {
 public:
  // `revision`: where the store counter stands at the start.
  explicit SmallDeployment(const nlohmann::json& manifest,
                           uint64_t revision = 1);
  ~SmallDeployment();
  SmallDeployment(const SmallDeployment&) = delete;
  SmallDeployment& operator=(const SmallDeployment&) = delete;

  void StartInstances(int instances);
  // Writes the operator's manifest; returns when the store has acknowledged it.
  void PutManifest(const nlohmann::json& manifest);
  void AddUpstream(const UpstreamPlan& plan);
  void StartUpstream(const std::string& id);
  void KillUpstream(const std::string& id);
  // Waits until all instances are ready; false after 20 s.
  bool AwaitReady();

  // Sends one request to an instance on a connection of its own.
  Sent Send(int instance,
            const std::string& path,
            const std::string& id,
            const std::string& key,
            int deadline_ms) const;

  std::vector<Arrival> ArrivalsAt(const std::string& id) const;
  // Starts of an upstream that was killed before.
  std::vector<int64_t> StartsOf(const std::string& id) const;

 private:
  struct Upstream {
    UpstreamPlan plan;
    std::string address;
    std::unique_ptr<ChildProcess> process;
  };

  std::string Ip(int host) const;
  std::string UpstreamLog(const std::string& id) const;
  void OnLoop(const std::function<void()>& function);

  std::string network_;
  std::string folder_;
  boost::asio::io_context& io_;
  Store& store_;
  std::string store_address_;
  std::thread thread_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
  std::map<std::string, Upstream> upstreams_;
};

// A manifest with one safe route for each service, at "/SERVICE/". `tenants`:
// rows of the tenants' table; none without tenants.
nlohmann::json ManifestOf(int version,
                          const std::vector<std::string>& services,
                          const nlohmann::json& tenants);

}  // namespace redwing::review

#endif  // REDWING_REVIEW_STAND_INS_3_SMALL_DEPLOYMENT_H_
