// Entries of the targets' list that make no sense.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <thread>

#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 2;
constexpr Milliseconds kStartLimit{15'000};
constexpr Milliseconds kListLimit{5'000};

TEST_CASE("odd entries among the targets do not stop the reading of the list") {
  const std::string item =
      R"({{"metadata":{{"name":"odd","revision":1}},"spec":{}}})";
  const std::string entry =
      R"({{"service":"svc","address":"{}","zone":"zone-0","version":"v1","slots":{},"state":"ready","warmup_time":"0ms","seq":1}})";
  constexpr size_t kDeep = 100'000;
  const std::string odd = GENERATE_COPY(
      fmt::format(fmt::runtime(item),
                  std::string(kDeep, '[') + std::string(kDeep, ']')),
      fmt::format(fmt::runtime(item),
                  fmt::format(fmt::runtime(entry), "127.0.0.1:80", "1e999")),
      fmt::format(fmt::runtime(item),
                  fmt::format(fmt::runtime(entry), "127.0.0.1:99999", "4")),
      std::string(R"({"metadata":{"name":"odd"},"spec":{}})"),
      std::string(R"({"spec":7})"), std::string("[]"));
  CAPTURE(odd.substr(0, 200));
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  fleet.OnLoop([&]() {
    fleet.store().AddRawItem("servers", odd);
    for (size_t i = 1; i < fleet.target_count(); ++i) {
      fleet.List(i, "draining");
    }
  });
  // The list is followed: only one target is left.
  std::this_thread::sleep_for(kListLimit);
  constexpr int kRequests = 10;
  size_t before = 0;
  fleet.OnLoop([&]() { before = fleet.target(0).runs().size(); });
  for (int i = 0; i < kRequests; ++i) {
    const Result<HttpReply> reply =
        fleet.Send(i % kInstances, fmt::format("odd-{}", i));
    CHECK((reply && reply.value().status == 200));
  }
  fleet.OnLoop(
      [&]() { CHECK(fleet.target(0).runs().size() == before + kRequests); });
  for (int i = 0; i < kInstances; ++i) {
    CHECK(fleet.instance(i).running());
  }
  // Another one starts with such a list.
  fleet.StartInstance(kInstances);
  CHECK(fleet.AwaitReady(kStartLimit));
  const Result<HttpReply> reply = fleet.Send(kInstances, "odd-new");
  CHECK((reply && reply.value().status == 200));
}

}  // namespace
}  // namespace redwing::testing
