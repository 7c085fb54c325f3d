#ifndef REDWING_REVIEW_STAND_INS_2_FLEET_H_
#define REDWING_REVIEW_STAND_INS_2_FLEET_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "testing/harness/process.h"
#include "testing/platform_stand_in/store_stand_in.h"
#include "testing/platform_stand_in/target_stand_in.h"

namespace redwing::review {

// An upstream of the deployment.
struct Upstream {
  std::string service;
  // Number of its region.
  int region = 0;
  int slots = 8;
};

// An upstream that may become cold again: it says so in its health answers at
// once, and in its entry when it writes that next.
class ColdTarget : public testing::TargetStandIn {
 public:
  using TargetStandIn::TargetStandIn;

  void Handle(HttpExchange& exchange, const Yield& yield) override;

  void BecomeCold(Milliseconds time) { cold_until_ = Clock::now() + time; }
  Milliseconds cold_left() const;
  int health_probes() const { return health_probes_; }
  // When each request arrived that was not turned away for its name.
  const std::vector<TimePoint>& arrivals() const { return arrivals_; }

 private:
  TimePoint cold_until_;
  int health_probes_ = 0;
  std::vector<TimePoint> arrivals_;
};

// A small deployment: the project's stand-ins of the store and of the upstreams
// on a thread of the case, and `target/bin/redwing-steer` as processes of their
// own, started as the deploy file says. Each region has one zone. Upstreams
// write their entries every 1.5 s while the store is up.
class Fleet {
 public:
  using Target = ColdTarget;

  // Instances are dealt over the regions in turn. They are not started.
  Fleet(int regions, int instances, const std::vector<Upstream>& upstreams);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  // Runs a function on the thread of the store and the upstreams.
  void OnLoop(const std::function<void()>& function);
  testing::StoreStandIn& store() { return *world_.store; }
  Target& target(size_t index) { return *world_.targets[index]; }
  size_t target_count() const { return world_.targets.size(); }

  // What an upstream writes of itself; on the loop only.
  nlohmann::json EntryOf(size_t index);
  // Writes the entries of all upstreams; on the loop only.
  void WriteEntries();
  // While the store is down, each call is answered 503 and upstreams write
  // nothing.
  void SetStoreDown(bool down);
  // The store comes back from its copy; upstreams write their entries again.
  void RestoreStore();

  void Start(int instance);
  testing::Process& process(int instance) { return *processes_.at(instance); }
  bool AwaitReady(Milliseconds limit);
  std::string front(int instance) const;
  int instances() const { return instances_; }

  static nlohmann::json Table(const std::vector<std::string>& columns,
                              const nlohmann::json& rows);
  // A manifest with tenants without limits, one for each list of keys. Routes:
  // {path prefix, kind, service}.
  static nlohmann::json Manifest(
      int version,
      const std::set<std::string>& services,
      const std::vector<std::vector<std::string>>& routes,
      const std::vector<std::vector<std::string>>& keys);
  static constexpr const char* kHost = "shop.example";

 private:
  // Never destroyed: coroutines that are still suspended refer to it.
  struct World {
    boost::asio::io_context io;
    std::unique_ptr<testing::StoreStandIn> store;
    std::vector<std::unique_ptr<Target>> targets;
  };

  std::string Ip(int host) const;
  std::string SettingsOf(int instance) const;

  int regions_;
  int instances_;
  std::vector<Upstream> upstreams_;
  std::string network_;
  std::string folder_;
  World& world_;
  std::string store_address_;
  std::vector<std::string> addresses_;
  int64_t sequence_ = 0;
  bool store_down_ = false;
  std::atomic<bool> stopped_ = false;
  std::thread loop_;
  std::thread beats_;
  std::map<int, std::unique_ptr<testing::Process>> processes_;
};

}  // namespace redwing::review

#endif  // REDWING_REVIEW_STAND_INS_2_FLEET_H_
