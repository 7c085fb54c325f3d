// A planned stop of one instance while targets work long on its requests.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>
#include <vector>

#include "framework/settings/endpoint.h"
#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr int kInstances = 4;
// Enough slots for all requests at once.
constexpr int kTargets = 16;
constexpr Milliseconds kStartLimit{15'000};
constexpr Milliseconds kChangeLimit{2'500};
// As in the settings that PlatformStandIn writes.
constexpr Milliseconds kGrace{6'000};
// The platform does not count requests whose target still works then.
constexpr Milliseconds kCounted = kGrace - kGrace / 6;

void AllowLongRuns(PlatformStandIn& fleet) {
  json manifest = PlatformStandIn::Manifest(10);
  for (json& row : manifest["routes"]["rows"]) {
    row[4] = "8s";
  }
  fleet.PutManifest(manifest);
  std::this_thread::sleep_for(kChangeLimit);
}

void SetRunTime(PlatformStandIn& fleet, Milliseconds time) {
  fleet.OnLoop([&]() {
    for (size_t i = 0; i < fleet.target_count(); ++i) {
      fleet.target(i).SetRunTime(time);
    }
  });
}

// Sends a request that may last as long as its route allows.
Result<HttpReply> SendLong(PlatformStandIn& fleet,
                           int instance,
                           const std::string& id,
                           http::verb method) {
  HttpCall call;
  call.endpoint = TcpEndpoint(fleet.front(instance));
  call.method = method;
  call.target = method == http::verb::get ? "/safe/1" : "/unsafe/1";
  call.timeout = Milliseconds(10'000);
  call.headers = {{"Host", "shop.example"},
                  {"X-Redwingcart-Request-Id", id},
                  {"X-Redwingcart-Affinity-Key", id},
                  {"X-Redwingcart-Deadline-Ms", "8000"},
                  {"Authorization", "Bearer key-one"}};
  return CallSync(call);
}

std::vector<std::future<Result<HttpReply>>> SendSome(
    PlatformStandIn& fleet,
    const std::string& prefix) {
  constexpr int kRequests = 4;
  std::vector<std::future<Result<HttpReply>>> replies;
  replies.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    replies.push_back(std::async(std::launch::async, [&fleet, prefix, i]() {
      return SendLong(fleet, 0, fmt::format("{}-{}", prefix, i),
                      i % 2 == 0 ? http::verb::get : http::verb::post);
    }));
  }
  return replies;
}

void CheckAnswered(std::vector<std::future<Result<HttpReply>>> replies) {
  for (std::future<Result<HttpReply>>& future : replies) {
    const Result<HttpReply> reply = future.get();
    CAPTURE(reply ? reply.value().body : reply.error().detail);
    CHECK((reply && reply.value().status == 200));
  }
}

// Guards against a stop that ends long before the grace time does.
TEST_CASE("a planned stop answers what ends before the grace time is over") {
  PlatformStandIn fleet(kInstances, kTargets);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  AllowLongRuns(fleet);
  constexpr Milliseconds kSpare{250};
  SetRunTime(fleet, kCounted - kSpare);
  std::vector<std::future<Result<HttpReply>>> before =
      SendSome(fleet, "before");
  std::this_thread::sleep_for(kSpare / 2);
  const TimePoint signalled = Clock::now();
  fleet.instance(0).Signal(SIGTERM);
  constexpr Milliseconds kLate{1'700};
  std::this_thread::sleep_for(kLate);
  SetRunTime(fleet, kCounted - kLate - kSpare);
  CheckAnswered(SendSome(fleet, "late"));
  CheckAnswered(std::move(before));
  CHECK(fleet.instance(0).Wait(kGrace) == 0);
  CHECK(Clock::now() - signalled < kGrace);
}

// Guards against requests being passed on that the end of the stop would cut.
TEST_CASE("a stopping instance refuses what would outlast its grace time") {
  PlatformStandIn fleet(kInstances, kTargets);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  AllowLongRuns(fleet);
  SetRunTime(fleet, Milliseconds(4'400));
  CheckAnswered(SendSome(fleet, "known"));
  const TimePoint signalled = Clock::now();
  fleet.instance(0).Signal(SIGTERM);
  CheckAnswered(SendSome(fleet, "early"));
  REQUIRE(fleet.instance(0).Wait(kGrace) == 0);
  CHECK(Clock::now() - signalled < kGrace);

  fleet.StartInstance(0);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  CheckAnswered(SendSome(fleet, "known-again"));
  fleet.instance(0).Signal(SIGTERM);
  std::this_thread::sleep_for(Milliseconds(1'500));
  for (std::future<Result<HttpReply>>& future : SendSome(fleet, "late")) {
    const Result<HttpReply> reply = future.get();
    REQUIRE(reply);
    CHECK(reply.value().status == 503);
    CHECK(reply.value().body.find("not_run") != std::string::npos);
  }
  for (int i = 0; i < 4; ++i) {
    CHECK(fleet.RunsOf(fmt::format("late-{}", i)) == 0);
  }
}

}  // namespace
}  // namespace redwing::testing
