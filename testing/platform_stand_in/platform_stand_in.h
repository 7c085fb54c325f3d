#ifndef REDWING_TESTING_PLATFORM_STAND_IN_PLATFORM_STAND_IN_H_
#define REDWING_TESTING_PLATFORM_STAND_IN_PLATFORM_STAND_IN_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "framework/http/http_client.h"
#include "testing/harness/process.h"
#include "testing/platform_stand_in/source_filter.h"
#include "testing/platform_stand_in/store_stand_in.h"
#include "testing/platform_stand_in/target_stand_in.h"

namespace redwing::testing {

// A small deployment on the platform: its store and targets on a thread of the
// test, and entry instances as processes of their own. Two regions with one
// failure domain each.
class PlatformStandIn {
 public:
  // `instances` entries and `targets` targets, dealt over the regions in turn.
  explicit PlatformStandIn(int instances, int targets = 4);
  ~PlatformStandIn();
  PlatformStandIn(const PlatformStandIn&) = delete;
  PlatformStandIn& operator=(const PlatformStandIn&) = delete;

  // Runs a function on the thread of the store and the targets.
  void OnLoop(const std::function<void()>& function);

  StoreStandIn& store() { return *world_.store; }
  TargetStandIn& target(size_t index) { return *world_.targets[index]; }
  size_t target_count() const { return world_.targets.size(); }
  // Writes what a target says of itself.
  void List(size_t target,
            const std::string& state,
            const std::string& service = "svc",
            int64_t born = 1000);
  // Writes what a target says of itself that the test runs at an address of its
  // own, in the region of the instance `place`.
  void ListOther(const std::string& name,
                 const std::string& address,
                 int place,
                 int slots);
  // Removes all targets of the stand-in from the list.
  void RemoveTargets();
  // Cuts the links between some instances and all targets, or restores them.
  void CutFromTargets(const std::vector<int>& instances, OpenConnections open);
  void ReconnectTargets();
  // Sum of all targets' runs of a request.
  int RunsOf(const std::string& request_id);
  size_t RunCount();

  // A manifest with one safe and one unsafe route.
  static nlohmann::json Manifest(int version);
  void PutManifest(const nlohmann::json& manifest);

  void StartInstance(int index);
  // Adds lines to the settings file of an instance, or what is none.
  void AddSettings(int index, const std::string& text);
  Process& instance(int index) { return *instances_.at(index); }
  // What an instance has logged so far.
  std::string LogOf(int index) const;
  // Address of an instance, from which it calls.
  std::string IpOf(int index) const { return Ip(index + 1); }
  std::string front(int index) const;
  std::string ready(int index) const;
  std::string directory(int index) const;
  // Waits until all instances that run are ready.
  bool AwaitReady(Milliseconds limit);

  // Sends one request to an instance.
  Result<HttpReply> Send(int instance,
                         const std::string& request_id,
                         http::verb method = http::verb::get,
                         const std::string& path = "/safe/1",
                         const std::string& key = "key-one");
  // Sends requests on threads of their own, at once.
  std::vector<Result<HttpReply>> SendAtOnce(int instances,
                                            int requests,
                                            const std::string& prefix);

 private:
  void PutTarget(const std::string& name,
                 const std::string& address,
                 int place,
                 int slots,
                 const std::string& state,
                 const std::string& service,
                 int64_t born);
  std::string Ip(int host) const;
  std::string SettingsOf(int index) const;
  std::string SettingsPath(int index) const;
  std::string LogPath(int index) const;

  // The store and the targets with their event loop. Never destroyed:
  // coroutines still suspended would be unwound while the objects that they
  // refer to are being destroyed.
  struct World {
    boost::asio::io_context io;
    std::unique_ptr<StoreStandIn> store;
    std::vector<std::unique_ptr<TargetStandIn>> targets;
  };

  std::string network_;
  std::string folder_;
  World& world_;
  std::vector<std::string> target_addresses_;
  std::string store_address_;
  std::thread thread_;
  std::map<int, std::unique_ptr<Process>> instances_;
  int sequence_ = 0;
};

}  // namespace redwing::testing

#endif  // REDWING_TESTING_PLATFORM_STAND_IN_PLATFORM_STAND_IN_H_
