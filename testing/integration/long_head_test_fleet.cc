// Requests with long heads, all within the limit that the manifest sets.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <thread>

#include "testing/harness/sync_client.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr int kInstances = 4;
constexpr Milliseconds kStartLimit{15'000};
constexpr Milliseconds kChangeLimit{2'500};

void AllowHeads(PlatformStandIn& fleet, int version, size_t bytes) {
  json manifest = PlatformStandIn::Manifest(version);
  manifest["limits"]["maxHeaderBytes"] = bytes;
  fleet.PutManifest(manifest);
  std::this_thread::sleep_for(kChangeLimit);
}

std::string Status(const std::string& answer) {
  return answer.substr(0, sizeof("HTTP/1.1 200") - 1);
}

// Sends a request with a field of the given length.
std::string SendField(PlatformStandIn& fleet, int instance, size_t bytes) {
  return SendRaw(
      fleet.front(instance),
      fmt::format("GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\n"
                  "X-Redwingcart-Request-Id: field-{0}-{1}\r\n"
                  "X-Redwingcart-Affinity-Key: field-{0}-{1}\r\n"
                  "Authorization: Bearer key-one\r\nConnection: close\r\n"
                  "X-Long: {2}\r\n\r\n",
                  instance, bytes, std::string(bytes, 'x')));
}

// Guards against a token that grows with the request and ends the process, and
// against heads that callers may send but instances refuse from each other.
TEST_CASE("each head within the manifest's limit is served by all instances") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  AllowHeads(fleet, 10, 32'768);
  for (const size_t bytes : {2'000, 3'000, 5'000, 12'000, 20'000, 32'000}) {
    for (int i = 0; i < kInstances; ++i) {
      CAPTURE(bytes, i);
      const Result<HttpReply> long_target =
          fleet.Send(i, fmt::format("target-{}-{}", bytes, i), http::verb::get,
                     "/safe/1?tags=" + std::string(bytes, 'x'));
      REQUIRE(long_target);
      CHECK(long_target.value().status == 200);
      CHECK(Status(SendField(fleet, i, bytes)) == "HTTP/1.1 200");
      REQUIRE(fleet.instance(i).running());
    }
  }
}

TEST_CASE("a field beyond what can be stored is refused and ends no process") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  AllowHeads(fleet, 10, 200'000);
  for (int i = 0; i < kInstances; ++i) {
    CAPTURE(i);
    CHECK(Status(SendField(fleet, i, 70'000)) == "HTTP/1.1 431");
    const Result<HttpReply> long_target =
        fleet.Send(i, fmt::format("target-{}", i), http::verb::get,
                   "/safe/1?tags=" + std::string(150'000, 'x'));
    CHECK((long_target && long_target.value().status < 500));
    CHECK(fleet.instance(i).running());
    const Result<HttpReply> other = fleet.Send(i, fmt::format("other-{}", i));
    CHECK((other && other.value().status == 200));
  }
}

}  // namespace
}  // namespace redwing::testing
