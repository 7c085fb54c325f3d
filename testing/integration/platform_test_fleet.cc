// The system on the platform's stand-in: entry instances as processes, the
// store and the targets on a thread of the test.

#include <fmt/format.h>

#include <atomic>
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
// A change must be in force, and a leaving target left alone, by then.
constexpr Milliseconds kChangeLimit{2'000};
// A fleet that lost all its processes serves again by then.
constexpr Milliseconds kRecoveryLimit{15'000};

std::string Field(const HttpReply& reply, const std::string& name) {
  return std::string(StdView(reply.header[BeastView(name)]));
}

// Runs of a request by the index of the target's region, on targets that are
// dealt over two regions in turn.
std::set<size_t> RegionsThatRan(PlatformStandIn& fleet,
                                const std::string& prefix) {
  std::set<size_t> regions;
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      for (const TargetRun& run : fleet.target(i).runs()) {
        if (run.request_id.compare(0, prefix.size(), prefix) == 0) {
          regions.insert(i % 2);
        }
      }
    }
  });
  return regions;
}

// Sends requests by way of all instances. Returns the statuses.
std::map<unsigned, int> SendMany(PlatformStandIn& fleet,
                                 const std::string& prefix,
                                 const std::string& path = "/safe/1",
                                 const std::string& key = "key-one") {
  constexpr int kRequests = 40;
  std::map<unsigned, int> statuses;
  for (int i = 0; i < kRequests; ++i) {
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, fmt::format("{}-{}", prefix, i),
                   http::verb::get, path, key);
    ++statuses[reply ? reply.value().status : 0];
  }
  return statuses;
}

TEST_CASE("a request by host reaches a target with all that is its own") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  for (int i = 0; i < kInstances; ++i) {
    const std::string id = fmt::format("plain-{}", i);
    const Result<HttpReply> reply =
        fleet.Send(i, id, http::verb::get, "/safe/a%20b?x=1&&y=%2F");
    REQUIRE(reply);
    CHECK(reply.value().status == 200);
    CHECK(reply.value().body == "ran " + id);
    CHECK(Field(reply.value(), "X-Redwingcart-Response-Signature") ==
          "signed-" + id);
  }
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      for (const TargetRun& run : fleet.target(i).runs()) {
        CHECK(run.workspace == "one");
        CHECK(run.authorization.empty());
        CHECK(run.path == "/safe/a%20b?x=1&&y=%2F");
        CHECK(std::stoi(run.deadline) <= 3000);
      }
    }
  });
  CHECK(
      fleet.Send(0, "q1", http::verb::get, "/safe/1", "none").value().status ==
      401);
  CHECK(fleet.Send(0, "q2", http::verb::get, "/other/").value().status == 404);
}

TEST_CASE("look-ups name the region's entries, and none that is stopped") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  const auto look_up = [&fleet]() {
    const json answer = CallJson(http::verb::get, fleet.directory(0),
                                 "/resolve?name=shop.example&region=region-1");
    return answer.at("addresses").get<std::set<std::string>>();
  };
  const std::set<std::string> both = {fleet.front(1), fleet.front(3)};
  CHECK(WaitUntil([&]() { return look_up() == both; }, kStartLimit));
  fleet.instance(1).Signal(SIGTERM);
  CHECK(WaitUntil(
      [&]() { return look_up() == std::set<std::string>{fleet.front(3)}; },
      kChangeLimit));
}

TEST_CASE("a lost answer: safe requests are asked again, others run once") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.target(0).SetMode(TargetMode::kLoseAnswer);
    fleet.target(1).SetMode(TargetMode::kForge);
  });
  for (int i = 0; i < 40; ++i) {
    const std::string safe = fmt::format("safe-{}", i);
    const Result<HttpReply> answer = fleet.Send(i % kInstances, safe);
    REQUIRE(answer);
    // The budget of further tries may be used up; an answer is never forged.
    if (answer.value().status == 200) {
      CHECK(answer.value().body == "ran " + safe);
      CHECK(Field(answer.value(), "X-Redwingcart-Response-Signature") ==
            "signed-" + safe);
    }
    const std::string unsafe = fmt::format("unsafe-{}", i);
    const Result<HttpReply> once =
        fleet.Send(i % kInstances, unsafe, http::verb::post, "/unsafe/1");
    REQUIRE(once);
    const int runs = fleet.RunsOf(unsafe);
    CHECK(runs <= 1);
    const unsigned status = once.value().status;
    if (status == 503 || status == 429) {
      CHECK(runs == 0);
    }
  }
}

TEST_CASE("a leaving target gets no new work") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() { fleet.List(0, "draining"); });
  std::this_thread::sleep_for(kChangeLimit);
  size_t before = 0;
  fleet.OnLoop([&]() { before = fleet.target(0).runs().size(); });
  for (int i = 0; i < 40; ++i) {
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, fmt::format("leaving-{}", i));
    CHECK((reply && reply.value().status == 200));
  }
  fleet.OnLoop([&]() { CHECK(fleet.target(0).runs().size() == before); });
}

TEST_CASE("an evacuated failure domain gets nothing until it is taken back") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  SendMany(fleet, "before");
  CHECK(RegionsThatRan(fleet, "before") == std::set<size_t>{0, 1});
  fleet.OnLoop(
      [&]() { fleet.store().Put("evacuations", "zone-0", json::object()); });
  std::this_thread::sleep_for(kChangeLimit);
  CHECK(SendMany(fleet, "during") == std::map<unsigned, int>{{200, 40}});
  CHECK(RegionsThatRan(fleet, "during") == std::set<size_t>{1});
  fleet.OnLoop([&]() { fleet.store().Remove("evacuations", "zone-0"); });
  std::this_thread::sleep_for(kChangeLimit);
  SendMany(fleet, "after");
  CHECK(RegionsThatRan(fleet, "after").count(0) == 1);
}

TEST_CASE("homes of routes and workspaces bind, both where both have them") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  json changed = PlatformStandIn::Manifest(9);
  const size_t homes_of_route = 11;
  const size_t homes_of_workspace = 5;
  changed["routes"]["rows"][0][homes_of_route] = {"region-1"};
  changed["tenants"]["rows"][1][homes_of_workspace] = {"region-0"};
  changed["tenants"]["rows"][1][3] = 0;  // no rate
  fleet.PutManifest(changed);
  std::this_thread::sleep_for(kChangeLimit);
  CHECK(SendMany(fleet, "route") == std::map<unsigned, int>{{200, 40}});
  CHECK(RegionsThatRan(fleet, "route") == std::set<size_t>{1});
  const std::map<unsigned, int> refused =
      SendMany(fleet, "both", "/safe/1", "key-two");
  CHECK(refused.count(200) == 0);
  CHECK(RegionsThatRan(fleet, "both").empty());
  SendMany(fleet, "workspace", "/unsafe/1", "key-two");
  CHECK(RegionsThatRan(fleet, "workspace") == std::set<size_t>{0});
}

TEST_CASE("a change is in force everywhere in time, keys included") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  json changed = PlatformStandIn::Manifest(9);
  changed["tenants"]["rows"][0][1] = {"key-new"};
  changed["routes"]["rows"][0][2] = "/moved/";
  fleet.PutManifest(changed);
  std::this_thread::sleep_for(kChangeLimit);
  for (int i = 0; i < kInstances; ++i) {
    CHECK(fleet.Send(i, "c1", http::verb::get, "/safe/1", "key-new")
              .value()
              .status == 404);
    CHECK(fleet.Send(i, "c2", http::verb::get, "/moved/1").value().status ==
          401);
    CHECK(fleet.Send(i, "c3", http::verb::get, "/moved/1", "key-new")
              .value()
              .status == 200);
  }
  // A manifest that cannot be read leaves the one before in force.
  fleet.PutManifest({{"version", "r10"}});
  std::this_thread::sleep_for(kChangeLimit);
  CHECK(fleet.Send(0, "c4", http::verb::get, "/moved/1", "key-new")
            .value()
            .status == 200);
}

TEST_CASE("a workspace gets its rate over all instances together") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  std::this_thread::sleep_for(std::chrono::seconds(2));
  // The workspace's limits are 20 a second and 20 at once, and a tenth and 20
  // more in a window are tolerated.
  constexpr int kSeconds = 5;
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  callers.reserve(kInstances);
  const TimePoint end = Clock::now() + std::chrono::seconds(kSeconds);
  for (int i = 0; i < kInstances; ++i) {
    callers.emplace_back([&, i]() {
      for (int n = 0; Clock::now() < end; ++n) {
        const Result<HttpReply> reply =
            fleet.Send(i, fmt::format("rate-{}-{}", i, n), http::verb::get,
                       "/safe/1", "key-two");
        const unsigned status = reply ? reply.value().status : 0;
        served += status == 200 ? 1 : 0;
        refused += status == 429 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CAPTURE(served.load(), refused.load());
  CHECK(refused > 0);
  CHECK(served <= (20 * kSeconds + 20) * 1.1 + 20);
  CHECK(served >= 20 * kSeconds / 2);
}

TEST_CASE("a planned stop cuts no request and leaves the list") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      fleet.target(i).SetRunTime(Milliseconds(800));
    }
  });
  constexpr int kCallers = 3;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  std::atomic<int> answered{0};
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i]() {
      const Result<HttpReply> reply = fleet.Send(0, fmt::format("stop-{}", i));
      answered += reply && reply.value().status == 200 ? 1 : 0;
    });
  }
  std::this_thread::sleep_for(Milliseconds(200));
  fleet.instance(0).Signal(SIGTERM);
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(answered == kCallers);
  CHECK(fleet.instance(0).Wait(std::chrono::seconds(6)) == 0);
  // The log tells of the end, and of all before it.
  CHECK(fleet.LogOf(0).find("event=shutdown_ends cut=0") != std::string::npos);
  fleet.OnLoop([&]() {
    CHECK(fleet.store().Count("redwinginstances") == kInstances - 1);
  });
}

TEST_CASE("a request handed to a process that was replaced is no bad request") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  std::atomic<bool> over{false};
  std::atomic<int> asked{0};
  std::atomic<int> denied{0};
  // All instances but the one that is replaced.
  constexpr int kCallers = kInstances - 1;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&, i]() {
      for (int n = 0; !over; ++n) {
        const Result<HttpReply> reply =
            fleet.Send(i, fmt::format("replaced-{}-{}", i, n));
        const unsigned status = reply ? reply.value().status : 0;
        ++asked;
        denied += status >= 400 && status < 500 && status != 429 ? 1 : 0;
      }
    });
  }
  for (int round = 0; round < 8; ++round) {
    fleet.instance(kCallers).Kill();
    fleet.StartInstance(kCallers);
    std::this_thread::sleep_for(Milliseconds(600));
  }
  over = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(asked > 100);
  CHECK(denied == 0);
}

TEST_CASE("a request whose caller has left meanwhile is not sent on") {
  PlatformStandIn fleet(1);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  constexpr int kRequests = 20;
  // Opens the connections to the targets, so that a request can go at once.
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(fleet.Send(0, fmt::format("before-{}", i)));
  }
  fleet.instance(0).Signal(SIGSTOP);
  for (int i = 0; i < kRequests; ++i) {
    // Returns when the limit has passed, and closes the connection.
    SendRaw(fleet.front(0),
            fmt::format("GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\n"
                        "X-Redwingcart-Request-Id: left-{0}\r\n"
                        "X-Redwingcart-Affinity-Key: before-{0}\r\n"
                        "X-Redwingcart-Deadline-Ms: 3000\r\n"
                        "Authorization: Bearer key-one\r\n\r\n",
                        i),
            Milliseconds(20));
  }
  fleet.instance(0).Signal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (int i = 0; i < kRequests; ++i) {
    CHECK(fleet.RunsOf(fmt::format("left-{}", i)) == 0);
  }
}

TEST_CASE("a reload cuts nothing") {
  PlatformStandIn fleet(2);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.instance(0).Signal(SIGHUP);
  const Result<HttpReply> reply = fleet.Send(0, "after-reload");
  CHECK((reply && reply.value().status == 200));
}

TEST_CASE("the fleet goes on while the store is down, and is back by itself") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() { fleet.store().SetDown(true); });
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (int i = 0; i < 20; ++i) {
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, fmt::format("down-{}", i));
    CHECK((reply && reply.value().status == 200));
  }
  for (int i = 0; i < kInstances; ++i) {
    fleet.instance(i).Kill();
  }
  for (int i = 0; i < kInstances; ++i) {
    fleet.StartInstance(i);
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.OnLoop([&]() { fleet.store().SetDown(false); });
  REQUIRE(fleet.AwaitReady(kRecoveryLimit));
  const bool served = WaitUntil(
      [&]() {
        const Result<HttpReply> reply = fleet.Send(0, "again");
        return reply && reply.value().status == 200;
      },
      kRecoveryLimit);
  CHECK(served);
}

}  // namespace
}  // namespace redwing::testing
