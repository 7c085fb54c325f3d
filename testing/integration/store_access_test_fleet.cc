// The platform's store turns some instances away, those that read it for the
// others among them, and serves the rest.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <thread>

#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

using nlohmann::json;

constexpr int kInstances = 12;
constexpr Milliseconds kStartLimit{20'000};
// A change must be in force by then, and by kStretchedLimit while the store is
// impaired.
constexpr Milliseconds kChangeLimit{2'000};
constexpr Milliseconds kStretchedLimit{7'000};
// Each watcher lists the targets more often than that.
constexpr Milliseconds kListingLimit{2'000};

std::set<std::string> Readers(PlatformStandIn& fleet) {
  std::set<std::string> readers;
  fleet.OnLoop([&]() {
    readers = fleet.store().ListedBy("servers", Clock::now() - kListingLimit);
  });
  return readers;
}

void TurnAway(PlatformStandIn& fleet,
              const std::set<std::string>& callers,
              unsigned status) {
  fleet.OnLoop([&]() { fleet.store().TurnAway(callers, status); });
}

void PutKey(PlatformStandIn& fleet, int version, const std::string& key) {
  json manifest = PlatformStandIn::Manifest(version);
  manifest["tenants"]["rows"][0][1] = {key};
  fleet.PutManifest(manifest);
}

// Returns the number of instances, without those that are turned away, which do
// not answer a request with this key with this status.
int CountOthers(PlatformStandIn& fleet,
                const std::set<std::string>& turned_away,
                const std::string& key,
                unsigned status) {
  int others = 0;
  for (int i = 0; i < kInstances; ++i) {
    if (turned_away.count(fleet.IpOf(i)) > 0) {
      continue;
    }
    const Result<HttpReply> reply = fleet.Send(i, fmt::format("{}-{}", key, i),
                                               http::verb::get, "/safe/1", key);
    others += reply && reply.value().status == status ? 0 : 1;
  }
  return others;
}

// Guards against a removed key that stays in force while the store turns away
// the instances that read it.
TEST_CASE("a change applies while the store turns its readers away") {
  const unsigned status = GENERATE(503U, 429U, 0U);
  CAPTURE(status);
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  std::this_thread::sleep_for(kListingLimit + kListingLimit);
  std::set<std::string> readers = Readers(fleet);
  CAPTURE(readers);
  REQUIRE(readers.size() == 4);
  TurnAway(fleet, readers, status);
  std::this_thread::sleep_for(Milliseconds(500));
  PutKey(fleet, 9, "key-first");
  std::this_thread::sleep_for(kStretchedLimit);
  CHECK(CountOthers(fleet, readers, "key-one", 401) == 0);
  CHECK(CountOthers(fleet, readers, "key-first", 200) == 0);

  // Those that have taken over are turned away next; the first are served.
  const std::set<std::string> next = Readers(fleet);
  CAPTURE(next);
  CHECK(next.size() >= 2);
  CHECK(next.size() <= 4);
  TurnAway(fleet, next, status);
  PutKey(fleet, 10, "key-second");
  std::this_thread::sleep_for(kStretchedLimit);
  CHECK(CountOthers(fleet, next, "key-first", 401) == 0);

  // The first choices read again, and nobody else.
  TurnAway(fleet, {}, status);
  std::this_thread::sleep_for(kListingLimit + kListingLimit + kListingLimit);
  CHECK(Readers(fleet) == readers);
  PutKey(fleet, 11, "key-third");
  std::this_thread::sleep_for(kChangeLimit);
  CHECK(CountOthers(fleet, {}, "key-second", 401) == 0);
}

// Guards against a store that is flooded by instances that all read it, as it
// answers none of them.
TEST_CASE("calls stay few while the store turns all instances away") {
  PlatformStandIn fleet(kInstances);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  std::this_thread::sleep_for(kListingLimit);
  std::set<std::string> all;
  for (int i = 0; i < kInstances; ++i) {
    all.insert(fleet.IpOf(i));
  }
  TurnAway(fleet, all, 503);
  std::this_thread::sleep_for(kListingLimit);
  size_t before = 0;
  fleet.OnLoop([&]() { before = fleet.store().calls(); });
  constexpr std::chrono::seconds kSpan{5};
  std::this_thread::sleep_for(kSpan);
  size_t after = 0;
  fleet.OnLoop([&]() { after = fleet.store().calls(); });
  // Two watchers a region with four retries of at most three a second, and four
  // probes a second a region; all instances together make 120 retries a second.
  CHECK(after - before <= 60 * kSpan.count());
  TurnAway(fleet, {}, 503);
  PutKey(fleet, 9, "key-first");
  std::this_thread::sleep_for(kStretchedLimit);
  CHECK(CountOthers(fleet, {}, "key-one", 401) == 0);
}

}  // namespace
}  // namespace redwing::testing
