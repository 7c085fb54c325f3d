#include "routing/internal/target_leaders.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "membership/identity.h"
#include "membership/membership.h"
#include "steering/target.h"

namespace redwing {
namespace {

// Membership with the members that a test sets.
class KnownMembers : public Membership {
 public:
  const MemberMap& members() const override { return map; }
  const Member* Find(std::string_view name) const override {
    const auto member = map.find(name);
    return member == map.end() ? nullptr : &member->second;
  }
  MAKE_MOCK1(ApplyList, void(const std::vector<ListedInstance>&), override);
  MAKE_CONST_MOCK0(listed_count, size_t(), override);
  MAKE_CONST_MOCK0(missing_from_list, bool(), override);
  MAKE_MOCK2(MarkSynced, void(const std::string&, TimePoint), override);
  MAKE_MOCK0(AnnounceLeaving, void(), override);
  bool leaving() const override { return is_leaving; }
  MAKE_MOCK0(SendHeartbeatToAll, void(), override);
  MAKE_MOCK0(SendHeartbeatToSample, void(), override);
  MAKE_MOCK1(SendHeartbeatTo, void(const std::vector<std::string>&), override);
  MAKE_MOCK1(AddHeartbeatSource,
             void(std::function<void(Heartbeat&)>),
             override);
  using Comparer = std::function<bool(const std::string&, const Heartbeat&)>;
  MAKE_MOCK1(SetStateComparer, void(Comparer), override);
  Channel<Member, Heartbeat>& on_heartbeat() override { return heartbeats; }
  Channel<Member>& on_change() override { return changes; }
  Channel<Milliseconds>& on_pause() override { return pauses; }

  void Set(const std::string& name,
           const std::string& region,
           const std::string& failure_domain,
           MemberState state = MemberState::kAlive,
           bool reaches_targets = true) {
    Member member;
    member.reaches_targets = reaches_targets;
    member.name = name;
    member.region = region;
    member.failure_domain = failure_domain;
    member.state = state;
    map.insert_or_assign(name, member);
    changes.Notify(member);
  }

  MemberMap map;
  bool is_leaving = false;
  Channel<Member, Heartbeat> heartbeats;
  Channel<Member> changes;
  Channel<Milliseconds> pauses;
};

Target TargetIn(const std::string& name,
                const std::string& region,
                const std::string& failure_domain) {
  Target target;
  target.name = name;
  target.region = region;
  target.failure_domain = failure_domain;
  return target;
}

class LeadersFixture {
 public:
  LeadersFixture() {
    identity_->name = "own";
    identity_->region = "r1";
    identity_->failure_domain = "a";
    members_->Set("a-2", "r1", "a");
    members_->Set("b-1", "r1", "b");
    members_->Set("c-1", "r2", "c");
  }

 protected:
  std::shared_ptr<Identity> identity_ = std::make_shared<Identity>();
  std::shared_ptr<KnownMembers> members_ = std::make_shared<KnownMembers>();
  TargetLeaders leaders_{identity_, members_};
};

TEST_CASE_METHOD(LeadersFixture,
                 "the slot leader is in the target's failure domain") {
  for (int i = 0; i < 20; ++i) {
    const std::string name = "t-" + std::to_string(i);
    CHECK(leaders_.LeaderOf(TargetIn(name + "b", "r1", "b")) == "b-1");
    CHECK(leaders_.LeaderOf(TargetIn(name + "c", "r2", "c")) == "c-1");
    const std::string leader = leaders_.LeaderOf(TargetIn(name, "r1", "a"));
    CHECK((leader == "own" || leader == "a-2"));
  }
}

TEST_CASE_METHOD(
    LeadersFixture,
    "without an instance in the failure domain the region leads the target") {
  members_->Set("b-1", "r1", "b", MemberState::kSuspect);
  const std::string leader = leaders_.LeaderOf(TargetIn("t", "r1", "b"));
  CHECK((leader == "own" || leader == "a-2"));
  members_->Set("c-1", "r2", "c", MemberState::kLeaving);
  CHECK(leaders_.LeaderOf(TargetIn("u", "r2", "c")).empty());
}

TEST_CASE_METHOD(
    LeadersFixture,
    "an instance without links to targets is not elected as slot leader") {
  members_->Set("a-2", "r1", "a", MemberState::kAlive, false);
  CHECK(leaders_.LeaderOf(TargetIn("t", "r1", "a")) == "own");
  leaders_.SetMayLead(false);
  // The failure domain has no leader, so that the region leads the target.
  CHECK(leaders_.LeaderOf(TargetIn("t", "r1", "a")) == "b-1");
  members_->Set("b-1", "r1", "b", MemberState::kAlive, false);
  CHECK(leaders_.LeaderOf(TargetIn("t", "r1", "a")).empty());
  leaders_.SetMayLead(true);
  CHECK(leaders_.LeaderOf(TargetIn("t", "r1", "a")) == "own");
}

TEST_CASE_METHOD(LeadersFixture,
                 "a leaving instance is not elected as slot leader") {
  members_->is_leaving = true;
  members_->Set("a-2", "r1", "a");
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(leaders_.IsOwn(TargetIn("t-" + std::to_string(i), "r1", "a")));
  }
}

}  // namespace
}  // namespace redwing
