#include "config/replicated_state.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "framework/metrics/metrics.h"

namespace redwing {
namespace {

const TimePoint kNow{std::chrono::hours(1)};

TEST_CASE("an entry is replaced only by a higher revision") {
  Metrics metrics;
  ReplicatedState state(metrics);
  std::vector<uint64_t> applied;
  state.on_applied().Subscribe([&applied](const StateEntry& e) {
    applied.push_back(e.version.revision());
  });
  CHECK(state.Apply({"a", StoreVersion(1, 2), "two"}, kNow));
  CHECK_FALSE(state.Apply({"a", StoreVersion(1, 1), "one"}, kNow));
  CHECK_FALSE(state.Apply({"a", StoreVersion(1, 2), "other two"}, kNow));
  CHECK(state.Apply({"a", StoreVersion(1, 5), "five"}, kNow));
  CHECK(state.Find("a")->body == "five");
  CHECK(applied == std::vector<uint64_t>{2, 5});
}

TEST_CASE("digests are equal if and only if the revisions are equal") {
  Metrics metrics;
  ReplicatedState a(metrics);
  ReplicatedState b(metrics);
  a.Apply({"x", StoreVersion(1, 1), ""}, kNow);
  a.Apply({"y", StoreVersion(1, 2), ""}, kNow);
  b.Apply({"y", StoreVersion(1, 1), ""}, kNow);
  b.Apply({"x", StoreVersion(1, 1), ""}, kNow);
  CHECK(a.digest() != b.digest());
  for (const StateEntry& entry : a.NewerThan(b.Versions())) {
    b.Apply(entry, kNow);
  }
  CHECK(a.digest() == b.digest());
  CHECK(a.NewerThan(b.Versions()).empty());
}

TEST_CASE("an entry of a later era replaces a higher revision of an earlier") {
  Metrics metrics;
  ReplicatedState state(metrics);
  CHECK(state.Apply({"a", StoreVersion(1, 253), "before"}, kNow));
  CHECK(state.Apply({"a", StoreVersion(2, 230), "after"}, kNow));
  CHECK_FALSE(state.Apply({"a", StoreVersion(1, 254), "late"}, kNow));
  CHECK(state.Find("a")->body == "after");
}

TEST_CASE("entries of equal revision and other eras differ in the digest") {
  Metrics metrics;
  ReplicatedState a(metrics);
  ReplicatedState b(metrics);
  a.Apply({"x", StoreVersion(1, 7), "before"}, kNow);
  b.Apply({"x", StoreVersion(2, 7), "after"}, kNow);
  CHECK(a.digest() != b.digest());
  CHECK(a.version_sum() < b.version_sum());
}

TEST_CASE(
    "a restored older copy is held back until others have written again") {
  Metrics metrics;
  ReplicatedState state(metrics);
  const std::string name =
      GENERATE(std::string(kDrainsName), std::string(kListingName),
               std::string("section.a"), std::string("keys.a"));
  CHECK(state.Apply({name, StoreVersion(1, 253), "newest"}, kNow));
  CHECK_FALSE(state.Apply({name, StoreVersion(2, 189), "older copy"}, kNow));
  const TimePoint later = kNow + RestoreHold::kDuration;
  CHECK_FALSE(state.Apply({name, StoreVersion(2, 190), "older copy"},
                          later - Milliseconds(1)));
  CHECK(state.Find(name)->body == "newest");
  CHECK(state.Apply({name, StoreVersion(2, 191), "written again"}, later));
  CHECK(state.Find(name)->body == "written again");
}

TEST_CASE("versions are ordered by era, then by revision") {
  std::vector<StoreVersion> ordered;
  for (const uint32_t era : {1U, 2U, 3U, StoreVersion::kMaxEra}) {
    for (const uint64_t revision : {uint64_t{0}, uint64_t{1}, uint64_t{253},
                                    StoreVersion::kMaxRevision}) {
      ordered.emplace_back(era, revision);
    }
  }
  CHECK(std::is_sorted(ordered.begin(), ordered.end()));
  CHECK(std::adjacent_find(ordered.begin(), ordered.end()) == ordered.end());
  for (const StoreVersion& version : ordered) {
    CHECK(StoreVersion(version.era(), version.revision()) == version);
  }
  // Builds that know no eras read a revision of the first era as it is.
  CHECK(StoreVersion(StoreVersion::kFirstEra, 253).packed() == 253);
  CHECK(StoreVersion(0, 253) == StoreVersion(StoreVersion::kFirstEra, 253));
}

TEST_CASE("the first known era of the store is not taken for a restore") {
  RestoreHold hold;
  CHECK_FALSE(hold.Observe(7, kNow));
  CHECK(hold.Remaining(7, kNow) == Milliseconds(0));
  CHECK(hold.Observe(8, kNow));
  CHECK(hold.Remaining(8, kNow) == RestoreHold::kDuration);
  CHECK(hold.Remaining(7, kNow) == Milliseconds(0));
  // A second restore during the first hold begins a hold of its own.
  const TimePoint again = kNow + Milliseconds(500);
  CHECK(hold.Observe(9, again));
  CHECK(hold.Remaining(9, again) == RestoreHold::kDuration);
  CHECK_FALSE(hold.Observe(8, again));
}

}  // namespace
}  // namespace redwing
