#include "membership/internal/heartbeat_membership.h"

#include <catch2/catch.hpp>
#include <vector>

#include "framework/metrics/metrics.h"
#include "membership/identity.h"

namespace redwing {
namespace {

TEST_CASE("a leaving instance notifies its own modules, which lead nothing") {
  boost::asio::io_context io;
  Metrics metrics;
  const auto identity = std::make_shared<Identity>();
  identity->name = "own";
  identity->region = "r1";
  identity->failure_domain = "a";
  HeartbeatMembership membership(io, metrics, identity, MembershipOptions(),
                                 {});
  std::vector<Member> changed;
  membership.on_change().Subscribe([&](const Member& member) {
    CHECK(membership.leaving());
    changed.push_back(member);
  });
  membership.AnnounceLeaving();
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].name == "own");
  CHECK(changed[0].region == "r1");
  CHECK(changed[0].failure_domain == "a");
  CHECK_FALSE(changed[0].may_lead());
}

}  // namespace
}  // namespace redwing
