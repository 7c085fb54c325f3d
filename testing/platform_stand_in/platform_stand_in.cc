#include "testing/platform_stand_in/platform_stand_in.h"

#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>

#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"

namespace redwing::testing {

namespace {

using nlohmann::json;

constexpr int kRegions = 2;
constexpr int kSlots = 4;
// Hosts of the deployment's own part of the loopback network.
constexpr int kStoreHost = 250;
constexpr int kFirstTargetHost = 100;
constexpr int kHostsPerNetwork = 250;
constexpr Milliseconds kCallTimeout{8'000};

std::string RegionName(int index) {
  return fmt::format("region-{}", index % kRegions);
}

std::string ZoneName(int index) {
  return fmt::format("zone-{}", index % kRegions);
}

}  // namespace

PlatformStandIn::PlatformStandIn(int instances, int targets)
    : world_(*new World) {
  const int process = getpid();
  network_ = fmt::format("127.{}.{}", 100 + process / kHostsPerNetwork % 100,
                         process % kHostsPerNetwork);
  folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("redwing-platform-{}", process))
                .string();
  std::filesystem::create_directories(folder_);
  world_.store = std::make_unique<StoreStandIn>(world_.io);
  store_address_ = world_.store->Listen(Ip(kStoreHost));
  for (int i = 0; i < targets; ++i) {
    world_.targets.push_back(std::make_unique<TargetStandIn>(
        world_.io, fmt::format("i-{}", i), kSlots));
    target_addresses_.push_back(
        world_.targets[i]->Listen(Ip(kFirstTargetHost + i)));
    List(i, "ready");
  }
  world_.store->Put("config", "main", Manifest(1));
  thread_ = std::thread([this]() {
    const boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>
        guard = boost::asio::make_work_guard(world_.io);
    world_.io.run();
  });
  for (int i = 0; i < instances; ++i) {
    StartInstance(i);
  }
}

PlatformStandIn::~PlatformStandIn() {
  instances_.clear();
  world_.io.stop();
  thread_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void PlatformStandIn::OnLoop(const std::function<void()>& function) {
  std::promise<void> done;
  boost::asio::post(world_.io, [&function, &done]() {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

void PlatformStandIn::List(size_t target,
                           const std::string& state,
                           const std::string& service,
                           int64_t born) {
  PutTarget(world_.targets[target]->id(), target_addresses_[target],
            static_cast<int>(target), kSlots, state, service, born);
}

void PlatformStandIn::ListOther(const std::string& name,
                                const std::string& address,
                                int place,
                                int slots) {
  constexpr int64_t kBorn = 1'000;
  PutTarget(name, address, place, slots, "ready", "svc", kBorn);
}

void PlatformStandIn::RemoveTargets() {
  for (const std::unique_ptr<TargetStandIn>& target : world_.targets) {
    world_.store->Remove("servers", target->id());
  }
}

void PlatformStandIn::PutTarget(const std::string& name,
                                const std::string& address,
                                int place,
                                int slots,
                                const std::string& state,
                                const std::string& service,
                                int64_t born) {
  world_.store->Put("servers", name,
                    {{"service", service},
                     {"address", address},
                     {"zone", ZoneName(place)},
                     {"version", "v1"},
                     {"slots", slots},
                     {"state", state},
                     {"warmup_time", "0ms"},
                     {"seq", ++sequence_},
                     {"born", born}});
}

void PlatformStandIn::CutFromTargets(const std::vector<int>& instances,
                                     OpenConnections open) {
  std::vector<std::string> sources;
  sources.reserve(instances.size());
  for (const int index : instances) {
    sources.push_back(Ip(index + 1));
  }
  OnLoop([&]() {
    for (const std::string& address : target_addresses_) {
      DropPackets(TcpEndpoint(address), sources, open);
    }
  });
}

void PlatformStandIn::ReconnectTargets() {
  OnLoop([&]() {
    for (const std::string& address : target_addresses_) {
      AcceptPackets(TcpEndpoint(address));
    }
  });
}

int PlatformStandIn::RunsOf(const std::string& request_id) {
  int count = 0;
  OnLoop([&]() {
    for (const std::unique_ptr<TargetStandIn>& target : world_.targets) {
      for (const TargetRun& run : target->runs()) {
        count += run.request_id == request_id ? 1 : 0;
      }
    }
  });
  return count;
}

size_t PlatformStandIn::RunCount() {
  size_t count = 0;
  OnLoop([&]() {
    for (const std::unique_ptr<TargetStandIn>& target : world_.targets) {
      count += target->runs().size();
    }
  });
  return count;
}

json PlatformStandIn::Manifest(int version) {
  return {
      {"version", fmt::format("r{}", version)},
      {"routes",
       {{"columns",
         {"name", "host", "pathPrefix", "kind", "timeout", "targetLatency",
          "priority", "trafficSplit", "maxAttempts", "public", "sticky",
          "homeRegions", "service"}},
        {"rows",
         {{"r-safe", "shop.example", "/safe/", "safe", "3s", "500ms", 2,
           nullptr, 3, false, true, json::array(), "svc"},
          {"r-unsafe", "shop.example", "/unsafe/", "unsafe", "3s", "500ms", 1,
           nullptr, 3, false, true, json::array(), "svc"}}}}},
      {"services",
       {{"columns",
         {"name", "healthPath", "maxConns", "protocol", "tls", "warmup",
          "warmupPerS"}},
        {"rows", {{"svc", "/health", 100, "h1", false, "1s", 50.0}}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 1048576},
        {"headerTimeout", "3000ms"},
        {"idleTimeout", "15000ms"}}},
      {"tenants",
       {{"columns",
         {"name", "apiKeys", "priority", "ratePerS", "burst", "homeRegions"}},
        {"rows",
         {{"one", {"key-one"}, 0, 0, 0, json::array()},
          {"two", {"key-two"}, 0, 20, 20, json::array()}}}}}};
}

void PlatformStandIn::PutManifest(const json& manifest) {
  OnLoop([&]() { world_.store->Put("config", "main", manifest); });
}

std::string PlatformStandIn::Ip(int host) const {
  return fmt::format("{}.{}", network_, host);
}

std::string PlatformStandIn::front(int index) const {
  return Ip(index + 1) + ":8100";
}

std::string PlatformStandIn::ready(int index) const {
  return Ip(index + 1) + ":8101";
}

std::string PlatformStandIn::directory(int index) const {
  return Ip(index + 1) + ":8102";
}

std::string PlatformStandIn::SettingsOf(int index) const {
  std::string text = fmt::format(
      "self.node=node-{0}\nself.zone={1}\nself.region={2}\nself.ip={3}\n"
      "self.limits.maxFds=4100\nnetwork.listen.front={4}\n"
      "network.listen.ready={5}\nnetwork.listen.directory={6}\n"
      "network.portRange=8110,8119\nplatform.platform.address={7}\n"
      "terms.bounds.contact=3000ms\nterms.bounds.grace=6s\n"
      "terms.bounds.ttl_max=5s\nterms.bounds.retryRatio=0.2\n"
      "terms.bounds.retrySlack=60\nterms.bounds.quotaSlack=20\n"
      "terms.bounds.maxShift=0.15\nterms.bounds.strictRevoke=false\n",
      index, ZoneName(index), RegionName(index), Ip(index + 1), front(index),
      ready(index), directory(index), store_address_);
  for (int i = 0; i < kRegions; ++i) {
    text += fmt::format("network.zones.{}={}\n", ZoneName(i), RegionName(i));
  }
  return text;
}

void PlatformStandIn::StartInstance(int index) {
  const std::string path = SettingsPath(index);
  std::ofstream(path) << SettingsOf(index);
  instances_[index] = std::make_unique<Process>(
      "redwing-steer",
      std::vector<std::string>{"--log-to", "stderr", "--settings", path},
      LogPath(index));
}

void PlatformStandIn::AddSettings(int index, const std::string& text) {
  std::ofstream(SettingsPath(index), std::ios::app) << text;
}

std::string PlatformStandIn::SettingsPath(int index) const {
  return fmt::format("{}/node-{}.conf", folder_, index);
}

std::string PlatformStandIn::LogPath(int index) const {
  return fmt::format("{}/node-{}.log", folder_, index);
}

std::string PlatformStandIn::LogOf(int index) const {
  std::ifstream file(LogPath(index));
  return {std::istreambuf_iterator<char>(file),
          std::istreambuf_iterator<char>()};
}

bool PlatformStandIn::AwaitReady(Milliseconds limit) {
  return WaitUntil(
      [this]() {
        for (const auto& [index, process] : instances_) {
          HttpCall call;
          call.endpoint = TcpEndpoint(ready(index));
          call.target = "/ready";
          const Result<HttpReply> reply = CallSync(call);
          if (!reply || reply.value().status != 200) {
            return false;
          }
        }
        return true;
      },
      limit);
}

Result<HttpReply> PlatformStandIn::Send(int instance,
                                        const std::string& request_id,
                                        http::verb method,
                                        const std::string& path,
                                        const std::string& key) {
  HttpCall call;
  call.endpoint = TcpEndpoint(front(instance));
  call.method = method;
  call.target = path;
  call.timeout = kCallTimeout;
  call.headers = {{"Host", "shop.example"},
                  {"X-Redwingcart-Request-Id", request_id},
                  {"X-Redwingcart-Affinity-Key", request_id},
                  {"X-Redwingcart-Deadline-Ms", "3000"},
                  {"Authorization", "Bearer " + key}};
  return CallSync(call);
}

std::vector<Result<HttpReply>> PlatformStandIn::SendAtOnce(
    int instances,
    int requests,
    const std::string& prefix) {
  std::vector<std::future<Result<HttpReply>>> futures;
  futures.reserve(requests);
  for (int i = 0; i < requests; ++i) {
    futures.push_back(
        std::async(std::launch::async, [this, i, instances, &prefix]() {
          return Send(i % instances, fmt::format("{}-{}", prefix, i));
        }));
  }
  std::vector<Result<HttpReply>> replies;
  replies.reserve(requests);
  for (std::future<Result<HttpReply>>& future : futures) {
    replies.push_back(future.get());
  }
  return replies;
}

}  // namespace redwing::testing
