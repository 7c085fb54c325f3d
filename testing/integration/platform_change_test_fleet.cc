// What changes around the system on its platform while it serves: splits of
// traffic, machines that freeze and wake, settings files, machines that are
// added.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <set>
#include <thread>

#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr int kInstances = 4;
constexpr Milliseconds kStartLimit{15'000};
// A change must be in force by then.
constexpr Milliseconds kChangeLimit{2'000};
// Columns of a route.
constexpr size_t kName = 0;
constexpr size_t kPath = 2;
constexpr size_t kTargetLatency = 5;
constexpr size_t kPriority = 6;
constexpr size_t kSplit = 7;
constexpr size_t kService = 12;
// How far a part's share of the requests may be off its weight's.
constexpr double kSplitBound = 0.2;
constexpr double kFirstWeight = 0.7;

// A manifest whose safe route is split between two services.
json SplitManifest() {
  json manifest = PlatformStandIn::Manifest(9);
  manifest["services"]["rows"].push_back(
      {"other", "/health", 100, "h1", false, "1s", 50.0});
  json& route = manifest["routes"]["rows"][0];
  route[kSplit] = {{{"service", "svc"}, {"weight", 70}},
                   {{"service", "other"}, {"weight", 30}}};
  route[kService] = nullptr;
  return manifest;
}

// Gives two of the targets, one a region, to the second service.
void SplitTargets(PlatformStandIn& fleet) {
  fleet.OnLoop([&]() {
    fleet.List(2, "ready", "other");
    fleet.List(3, "ready", "other");
  });
  fleet.PutManifest(SplitManifest());
  std::this_thread::sleep_for(kChangeLimit);
}

// Counts runs by the service of the target, of requests with a prefix.
std::map<std::string, int> RunsByService(PlatformStandIn& fleet,
                                         const std::string& prefix) {
  std::map<std::string, int> runs;
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      for (const TargetRun& run : fleet.target(i).runs()) {
        if (run.request_id.starts_with(prefix)) {
          ++runs[i < 2 ? "svc" : "other"];
        }
      }
    }
  });
  return runs;
}

// Sends requests one after the other by way of all instances. Returns how many
// had each status.
std::map<unsigned, int> SendEach(PlatformStandIn& fleet,
                                 int instances,
                                 int requests,
                                 const std::string& prefix,
                                 const std::string& key = "key-one") {
  std::map<unsigned, int> statuses;
  for (int i = 0; i < requests; ++i) {
    const Result<HttpReply> reply =
        fleet.Send(i % instances, fmt::format("{}-{}", prefix, i),
                   http::verb::get, "/safe/1", key);
    ++statuses[reply ? reply.value().status : 0];
  }
  return statuses;
}

TEST_CASE("a split follows its weights over all instances") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  SplitTargets(fleet);
  constexpr int kRequests = 300;
  CHECK(SendEach(fleet, kInstances, kRequests, "split")[200] == kRequests);
  std::map<std::string, int> runs = RunsByService(fleet, "split");
  const double first = runs["svc"];
  CHECK(first / kRequests == Approx(kFirstWeight).margin(kSplitBound));
  CHECK(runs["svc"] + runs["other"] == kRequests);
}

TEST_CASE("what does not fit one part of a split is not moved to the other") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  SplitTargets(fleet);
  fleet.OnLoop([&]() {
    // Longer than callers wait: what fills the slots keeps them.
    fleet.target(2).SetRunTime(std::chrono::seconds(20));
    fleet.target(3).SetRunTime(std::chrono::seconds(20));
  });
  constexpr int kRounds = 8;
  constexpr int kAtOnce = 25;
  constexpr double kSent = kRounds * kAtOnce;
  int answered = 0;
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const Result<HttpReply>& reply :
         fleet.SendAtOnce(kInstances, kAtOnce, fmt::format("full-{}", round))) {
      const unsigned status = reply ? reply.value().status : 0;
      answered += status == 200 ? 1 : 0;
      refused += status == 503 || status == 504 ? 1 : 0;
    }
  }
  std::map<std::string, int> runs = RunsByService(fleet, "full");
  CAPTURE(answered, refused, runs["svc"], runs["other"]);
  CHECK(refused > 0);
  CHECK(runs["svc"] <= (kFirstWeight + kSplitBound) * kSent);
  // The part that has room is served as before.
  CHECK(answered >= (kFirstWeight - kSplitBound) * kSent);
}

// Guards against a route that is dropped and still served, since another part
// of the manifest was refused.
TEST_CASE("one part of a manifest that is refused holds up no other") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  CHECK(SendEach(fleet, kInstances, kInstances, "before")[200] == kInstances);
  json changed = PlatformStandIn::Manifest(9);
  changed["limits"]["maxBodyBytes"] = 100'000'000;
  changed["tenants"]["rows"].push_back(
      {"Acme_Foods", {"key-three"}, 0, 0, 0, json::array()});
  changed["tenants"]["rows"].push_back(
      {"no name", {"key-four"}, 0, 0, 0, json::array()});
  json& routes = changed["routes"]["rows"];
  json moved = routes[0];
  moved[kName] = "r-moved";
  moved[kPath] = "/moved/";
  moved[kTargetLatency] = nullptr;
  moved[kPriority] = 2000;
  json unreadable = routes[0];
  unreadable[kName] = "r-odd";
  unreadable[kPath] = "odd";
  routes[0] = moved;
  routes.push_back(unreadable);
  fleet.PutManifest(changed);
  std::this_thread::sleep_for(kChangeLimit);
  const auto status_of = [&](int instance, const std::string& path,
                             const std::string& key) {
    const Result<HttpReply> reply = fleet.Send(
        instance, fmt::format("{}-{}", key, path), http::verb::get, path, key);
    return reply ? reply.value().status : 0;
  };
  for (int i = 0; i < kInstances; ++i) {
    CAPTURE(i);
    CHECK(status_of(i, "/safe/1", "key-one") == 404);
    CHECK(status_of(i, "/moved/1", "key-one") == 200);
    CHECK(status_of(i, "/moved/1", "key-three") == 200);
    CHECK(status_of(i, "/unsafe/1", "key-three") == 200);
  }
  CHECK(fleet.LogOf(0).find("event=section_part_refused") != std::string::npos);
}

TEST_CASE("a machine that froze acts on nothing that ended meanwhile") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  CHECK(SendEach(fleet, kInstances, 40, "before")[200] == 40);
  fleet.instance(0).Signal(SIGSTOP);
  json changed = PlatformStandIn::Manifest(9);
  changed["tenants"]["rows"][0][1] = {"key-new"};
  fleet.PutManifest(changed);
  fleet.OnLoop([&]() { fleet.List(0, "draining"); });
  // Longer than a withdrawn key may be in use anywhere.
  std::this_thread::sleep_for(std::chrono::seconds(6));
  // What came in while it was frozen is read first when it wakes.
  constexpr int kHeld = 10;
  for (int i = 0; i < kHeld; ++i) {
    SendRaw(fleet.front(0),
            fmt::format("GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\n"
                        "X-Redwingcart-Request-Id: held-{0}\r\n"
                        "X-Redwingcart-Affinity-Key: before-{0}\r\n"
                        "X-Redwingcart-Deadline-Ms: 3000\r\n"
                        "Authorization: Bearer key-one\r\n\r\n",
                        i),
            Milliseconds(20));
  }
  size_t before = 0;
  fleet.OnLoop([&]() { before = fleet.target(0).runs().size(); });
  fleet.instance(0).Signal(SIGCONT);
  // The withdrawn key serves nothing, from the first request on.
  for (int i = 0; i < 20; ++i) {
    const Result<HttpReply> reply = fleet.Send(0, fmt::format("woken-{}", i));
    CHECK((!reply || reply.value().status != 200));
  }
  CHECK(RunsByService(fleet, "woken").empty());
  CHECK(RunsByService(fleet, "held").empty());
  // It comes back by itself, and leaves the draining target alone.
  CHECK(WaitUntil(
      [&]() {
        const Result<HttpReply> reply =
            fleet.Send(0, "again", http::verb::get, "/safe/1", "key-new");
        return reply && reply.value().status == 200;
      },
      kChangeLimit));
  CHECK(SendEach(fleet, kInstances, 40, "after", "key-new")[200] == 40);
  fleet.OnLoop([&]() { CHECK(fleet.target(0).runs().size() == before); });
}

TEST_CASE("settings files change while requests run") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      fleet.target(i).SetRunTime(Milliseconds(300));
    }
  });
  const std::string text = GENERATE(
      as<std::string>(), "terms.bounds.maxShift=0.3\nnew.key=unknown\n",
      "terms.bounds.contact=never\n", "\x01\xff no settings at all");
  CAPTURE(text);
  std::thread changes([&]() {
    for (int round = 0; round < 3; ++round) {
      std::this_thread::sleep_for(Milliseconds(300));
      for (int i = 0; i < kInstances; ++i) {
        fleet.AddSettings(i, text);
        fleet.instance(i).Signal(SIGHUP);
      }
    }
  });
  for (int round = 0; round < 5; ++round) {
    for (const Result<HttpReply>& reply :
         fleet.SendAtOnce(kInstances, 8, fmt::format("change-{}", round))) {
      CHECK((reply && reply.value().status == 200));
    }
  }
  changes.join();
  for (int i = 0; i < kInstances; ++i) {
    CHECK(fleet.instance(i).running());
  }
}

TEST_CASE("a machine that is added serves and is named in look-ups") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  const auto look_up = [&fleet]() {
    const json answer = CallJson(http::verb::get, fleet.directory(1),
                                 "/resolve?name=shop.example&region=region-0");
    return answer.at("addresses").get<std::set<std::string>>();
  };
  const std::set<std::string> before = {fleet.front(0), fleet.front(2)};
  CHECK(WaitUntil([&]() { return look_up() == before; }, kStartLimit));
  fleet.StartInstance(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  std::set<std::string> after = before;
  after.insert(fleet.front(kInstances));
  CHECK(WaitUntil([&]() { return look_up() == after; }, kChangeLimit));
  CHECK(SendEach(fleet, kInstances + 1, 50, "added")[200] == 50);
  // It shares the limits of workspaces with the others: no more than the rate
  // and the burst, with a tenth and 20 more tolerated.
  constexpr int kRate = 20;
  constexpr int kBurst = 20;
  constexpr int kMost = 400;
  const TimePoint begun = Clock::now();
  const int served =
      SendEach(fleet, kInstances + 1, kMost, "limited", "key-two")[200];
  const double seconds = ToSeconds(Clock::now() - begun);
  CAPTURE(served, seconds);
  CHECK(served <= (kRate * seconds + kBurst) * 1.1 + 20);
  CHECK(served >= std::min<double>(kRate * seconds, kMost) / 2);
}

}  // namespace
}  // namespace redwing::testing
