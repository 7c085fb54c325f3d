// Instances that have lost their links to all targets, while callers, the store
// and the other instances still reach them.

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <thread>

#include "testing/harness/sync_client.h"
#include "testing/integration/platform_load.h"
#include "testing/platform_stand_in/platform_stand_in.h"

namespace redwing::testing {
namespace {

constexpr int kInstances = 4;
constexpr int kTargets = 12;
constexpr Milliseconds kStartLimit{15'000};
// Time after which callers of such instances are to be served like others.
constexpr std::chrono::seconds kContact{3};
constexpr std::chrono::seconds kCounted{5};
constexpr std::chrono::seconds kRecovery{2};
// Part of what other callers get in time that callers of these instances get.
constexpr double kServedFraction = 0.9;

// Cuts some instances off from all targets and checks what callers get.
void CutAndCheck(const std::vector<int>& stranded,
                 const std::vector<int>& others,
                 OpenConnections open) {
  PlatformStandIn fleet(kInstances, kTargets);
  REQUIRE(fleet.AwaitReady(kStartLimit));
  Load before(fleet, {0, 1, 2, 3}, "before");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  fleet.CutFromTargets(stranded, open);
  std::this_thread::sleep_for(kContact);
  before.Stop();
  {
    Load at_stranded(fleet, stranded, "stranded");
    Load at_others(fleet, others, "others");
    std::this_thread::sleep_for(kCounted);
    at_stranded.Stop();
    at_others.Stop();
    CAPTURE(at_stranded.answered(), at_stranded.refused(), at_stranded.failed(),
            at_stranded.last_failure());
    CAPTURE(at_others.last_refusal());
    CAPTURE(at_others.answered(), at_others.refused(), at_others.failed(),
            at_others.last_failure());
    CHECK(at_stranded.PartInTime() >= kServedFraction * at_others.PartInTime());
    // The targets have room for all.
    for (const Load* const load : {&at_stranded, &at_others}) {
      CHECK(load->refused() == 0);
      CHECK(load->failed() == 0);
    }
  }
  fleet.ReconnectTargets();
  std::this_thread::sleep_for(kRecovery);
  Load after(fleet, {0, 1, 2, 3}, "after");
  std::this_thread::sleep_for(std::chrono::seconds(2));
  after.Stop();
  CAPTURE(after.answered(), after.refused(), after.last_refusal(),
          after.last_failure());
  CHECK(after.failed() == 0);
  CHECK(after.refused() == 0);
}

TEST_CASE("callers of instances without links to targets are served by peers") {
  const OpenConnections open =
      GENERATE(OpenConnections::kHang, OpenConnections::kReset,
               OpenConnections::kLiveOn);
  CAPTURE(static_cast<int>(open));
  // One of each region.
  CutAndCheck({0, 1}, {2, 3}, open);
}

TEST_CASE("callers of a region without links to targets are served elsewhere") {
  // Both of one region.
  CutAndCheck({0, 2}, {1, 3}, OpenConnections::kHang);
}

}  // namespace
}  // namespace redwing::testing
