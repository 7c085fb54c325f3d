#include "review/stand_ins_2/fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>

#include "framework/http/http_exchange.h"
#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"

namespace redwing::review {

namespace {

using nlohmann::json;

constexpr int kStoreHost = 250;
constexpr int kFirstTargetHost = 100;
constexpr int kHostsPerNetwork = 250;
constexpr Milliseconds kBeat{1'500};
constexpr Milliseconds kPoll{50};
constexpr int64_t kBorn = 1'700'000'000'000;

std::string ZoneName(int region) {
  return fmt::format("zone-{}", region);
}

std::string RegionName(int region) {
  return fmt::format("region-{}", region);
}

}  // namespace

Milliseconds ColdTarget::cold_left() const {
  return std::max(Milliseconds(0),
                  std::chrono::ceil<Milliseconds>(cold_until_ - Clock::now()));
}

void ColdTarget::Handle(HttpExchange& exchange, const Yield& yield) {
  if (exchange.target() == "/health") {
    ++health_probes_;
    ResponseHeader header;
    header.result(200);
    header.set("X-Redwingcart-Instance-Id", id());
    if (cold_left() > Milliseconds(0)) {
      header.set("X-Redwingcart-Warmup-Ms",
                 std::to_string(cold_left().count()));
    }
    exchange.Respond(std::move(header), "", yield);
    return;
  }
  const std::string_view wanted =
      exchange.Header("X-Redwingcart-Target-Instance");
  if (wanted.empty() || wanted == id()) {
    arrivals_.push_back(Clock::now());
  }
  TargetStandIn::Handle(exchange, yield);
}

Fleet::Fleet(int regions, int instances, const std::vector<Upstream>& upstreams)
    : regions_(regions),
      instances_(instances),
      upstreams_(upstreams),
      world_(*new World) {
  const int process = getpid();
  network_ = fmt::format("127.{}.{}", 100 + process / kHostsPerNetwork % 100,
                         process % kHostsPerNetwork);
  folder_ = (std::filesystem::temp_directory_path() /
             fmt::format("redwing-review-2-{}", process))
                .string();
  std::filesystem::create_directories(folder_);
  world_.store = std::make_unique<testing::StoreStandIn>(world_.io);
  store_address_ = world_.store->Listen(Ip(kStoreHost));
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    world_.targets.push_back(std::make_unique<Target>(
        world_.io, fmt::format("i-{:04}", i), upstreams_[i].slots));
    addresses_.push_back(
        world_.targets[i]->Listen(Ip(kFirstTargetHost + static_cast<int>(i))));
  }
  WriteEntries();
  loop_ = std::thread([this]() {
    const boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>
        guard = boost::asio::make_work_guard(world_.io);
    world_.io.run();
  });
  beats_ = std::thread([this]() {
    TimePoint next = Clock::now() + kBeat;
    while (!stopped_) {
      std::this_thread::sleep_for(kPoll);
      if (Clock::now() >= next) {
        next += kBeat;
        OnLoop([this]() {
          if (!store_down_) {
            WriteEntries();
          }
        });
      }
    }
  });
}

Fleet::~Fleet() {
  stopped_ = true;
  beats_.join();
  processes_.clear();
  world_.io.stop();
  loop_.join();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Fleet::OnLoop(const std::function<void()>& function) {
  std::promise<void> done;
  boost::asio::post(world_.io, [&function, &done]() {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

json Fleet::EntryOf(size_t index) {
  return {{"service", upstreams_[index].service},
          {"address", addresses_[index]},
          {"zone", ZoneName(upstreams_[index].region)},
          {"version", "v1"},
          {"slots", upstreams_[index].slots},
          {"state", "ready"},
          {"warmup_time",
           fmt::format("{}ms", world_.targets[index]->cold_left().count())},
          {"seq", ++sequence_},
          {"born", kBorn}};
}

void Fleet::WriteEntries() {
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    world_.store->Put("servers", world_.targets[i]->id(), EntryOf(i));
  }
}

void Fleet::SetStoreDown(bool down) {
  OnLoop([this, down]() {
    store_down_ = down;
    world_.store->SetDown(down);
  });
}

void Fleet::RestoreStore() {
  OnLoop([this]() {
    world_.store->Restore();
    store_down_ = false;
    world_.store->SetDown(false);
    WriteEntries();
  });
}

void Fleet::Start(int instance) {
  const std::string path = fmt::format("{}/node-{}.conf", folder_, instance);
  std::ofstream(path) << SettingsOf(instance);
  setenv("REDWINGCART_NODE_FILE", path.c_str(), 1);
  processes_[instance] = std::make_unique<testing::Process>(
      "redwing-steer", std::vector<std::string>(),
      fmt::format("{}/node-{}.log", folder_, instance));
}

bool Fleet::AwaitReady(Milliseconds limit) {
  return testing::WaitUntil(
      [this]() {
        for (const auto& [instance, process] : processes_) {
          HttpCall call;
          call.endpoint = TcpEndpoint(Ip(instance + 1) + ":8384");
          call.target = "/ready";
          const Result<HttpReply> reply = testing::CallSync(call);
          if (!reply || reply.value().status != 200) {
            return false;
          }
        }
        return true;
      },
      limit);
}

std::string Fleet::Ip(int host) const {
  return fmt::format("{}.{}", network_, host);
}

std::string Fleet::front(int instance) const {
  return Ip(instance + 1) + ":8389";
}

std::string Fleet::SettingsOf(int instance) const {
  const std::string ip = Ip(instance + 1);
  const int region = instance % regions_;
  std::string text = fmt::format(
      "self.node=front-{0}\nself.role=entry\nself.machineClass=front\n"
      "self.serves=front,directory\nself.ip={1}\nself.zone={2}\n"
      "self.region={3}\nself.inTolerance=false\nself.bootstrap=true\n"
      "self.limits.cpuShare=0.2\nself.limits.cores=1\n"
      "self.limits.memoryMb=260\nself.limits.maxFds=4100\n"
      "self.limits.linkMbps=1000.0\nself.limits.diskMb=0\n"
      "network.listen.front={1}:8389\nnetwork.listen.ready={1}:8384\n"
      "network.listen.control={1}:8383\nnetwork.listen.directory={1}:8385\n"
      "network.portRange=7460,7475\n"
      "platform.discovery=platform\nplatform.entry=directory\n"
      "platform.heartbeat=1500ms\nplatform.platform.address={4}\n"
      "platform.platform.form=objects\nplatform.platform.writesPerS=400\n"
      "platform.platform.readsPerS=2000\nplatform.platform.history=20s\n"
      "platform.platform.valueBytes=1048576\nplatform.platform.minTtl=1000ms\n",
      instance, ip, ZoneName(region), RegionName(region), store_address_);
  for (int i = 0; i < regions_; ++i) {
    text += fmt::format("network.zones.{}={}\n", ZoneName(i), RegionName(i));
  }
  // The bounds of the small site.
  text +=
      "terms.contracts=base,drain,config,cost,retry,recover,places,tenants,"
      "quota,platform\n"
      "terms.tolerate.machines=1\nterms.tolerate.zones=1\n"
      "terms.tolerate.regions=1\n"
      "terms.bounds.seedLag=3s\nterms.bounds.addrReuse=2s\n"
      "terms.bounds.contact=3000ms\nterms.bounds.ack=4000ms\n"
      "terms.bounds.catchUp=4s\nterms.bounds.drain=2000ms\n"
      "terms.bounds.grace=6s\nterms.bounds.lossSlack=200ms\n"
      "terms.bounds.configApply=2000ms\nterms.bounds.downgradeSlack=250ms\n"
      "terms.bounds.maxStretch=5000ms\nterms.bounds.strictRevoke=false\n"
      "terms.bounds.revoke=5000ms\nterms.bounds.retryRatio=0.2\n"
      "terms.bounds.retryWindow=10s\nterms.bounds.retrySlack=62\n"
      "terms.bounds.quotaWindow=5s\nterms.bounds.quotaOverage=0.1\n"
      "terms.bounds.quotaSlack=20\nterms.bounds.warmupOverage=1.5\n"
      "terms.bounds.warmupSlack=5\nterms.bounds.evacuate=5000ms\n"
      "terms.bounds.recovery=15s\nterms.bounds.ttl_max=5s\n"
      "terms.bounds.maxShift=0.15\n";
  return text;
}

json Fleet::Table(const std::vector<std::string>& columns, const json& rows) {
  return {{"columns", columns}, {"rows", rows}};
}

json Fleet::Manifest(int version,
                     const std::set<std::string>& services,
                     const std::vector<std::vector<std::string>>& routes,
                     const std::vector<std::vector<std::string>>& keys) {
  json route_rows = json::array();
  for (const std::vector<std::string>& route : routes) {
    route_rows.push_back({"route" + std::to_string(route_rows.size()), kHost,
                          route[0], route[1], "3s", "500ms", 1, nullptr, 3,
                          false, true, json::array(), route[2]});
  }
  json service_rows = json::array();
  for (const std::string& service : services) {
    service_rows.push_back({service, "/health", 390, "h1", false, "3s", 18.0});
  }
  json tenant_rows = json::array();
  for (const std::vector<std::string>& list : keys) {
    tenant_rows.push_back({"tenant" + std::to_string(tenant_rows.size()), list,
                           0, 0, 0, json::array()});
  }
  return {{"version", fmt::format("r{}", version)},
          {"routes",
           Table({"name", "host", "pathPrefix", "kind", "timeout",
                  "targetLatency", "priority", "trafficSplit", "maxAttempts",
                  "public", "sticky", "homeRegions", "service"},
                 route_rows)},
          {"services", Table({"name", "healthPath", "maxConns", "protocol",
                              "tls", "warmup", "warmupPerS"},
                             service_rows)},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 1048576},
            {"headerTimeout", "3000ms"},
            {"idleTimeout", "15000ms"}}},
          {"tenants", Table({"name", "apiKeys", "priority", "ratePerS", "burst",
                             "homeRegions"},
                            tenant_rows)}};
}

}  // namespace redwing::review
