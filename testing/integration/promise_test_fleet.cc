// A refusal with a status that promises that nothing was run, and what targets
// that write old responses once more make of it.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "testing/platform_stand_in/platform_stand_in.h"
#include "testing/platform_stand_in/raw_target.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 2;
constexpr Milliseconds kStartLimit{15'000};
constexpr Milliseconds kListTime{2'500};
constexpr std::string_view kNotRun = "X-Redwingcart-Not-Executed: 1\r\n";

// Whether callers take a status for a promise that nothing was run.
bool Promises(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string Refusal(int status, const std::string& id) {
  return RawTarget::Head(status, id,
                         fmt::format("{}Content-Length: 0\r\n", kNotRun));
}

std::string Success(const std::string& id) {
  const std::string body = "ran " + id;
  return RawTarget::Head(
             200, id,
             fmt::format("X-Redwingcart-Response-Signature: signed-{}\r\n"
                         "Content-Length: {}\r\n",
                         id, body.size())) +
         body;
}

// Guards against an old refusal that is taken for the response to the next
// attempt of the same request.
TEST_CASE("a refusal written once more does not answer the next attempt") {
  constexpr int kRequests = 20;
  const int status = GENERATE(421, 503);
  CAPTURE(status);
  std::mutex mutex;
  std::map<std::string, int> sends;
  std::map<std::string, int> runs;
  std::map<int, std::string> refusals;
  RawTarget target([&](const RawRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex);
    std::string& refusal = refusals[request.connection];
    if (++sends[request.id] == 1) {
      refusal = Refusal(status, request.id);
      return refusal;
    }
    ++runs[request.id];
    return refusal + Success(request.id);
  });
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.RemoveTargets();
    fleet.ListOther("i-old", target.address(), 0, 1);
    fleet.ListOther("i-new", target.address(), 0, 1);
  });
  std::this_thread::sleep_for(kListTime);
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    const std::string id = fmt::format("twice-{}", i);
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, id, http::verb::post, "/unsafe/1");
    REQUIRE(reply);
    const std::lock_guard<std::mutex> lock(mutex);
    CAPTURE(id, reply.value().status, reply.value().body);
    CHECK((!Promises(reply.value().status) || runs[id] == 0));
    served += reply.value().status == 200 ? 1 : 0;
  }
  CHECK(served > 0);
}

}  // namespace
}  // namespace redwing::testing
