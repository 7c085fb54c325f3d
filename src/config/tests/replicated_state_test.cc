#include "config/replicated_state.h"

#include <catch2/catch.hpp>

#include "framework/metrics/metrics.h"

namespace redwing {
namespace {

TEST_CASE("an entry is replaced only by a higher revision") {
  Metrics metrics;
  ReplicatedState state(metrics);
  std::vector<uint64_t> applied;
  state.on_applied().Subscribe(
      [&applied](const StateEntry& e) { applied.push_back(e.revision); });
  CHECK(state.Apply({"a", 2, "two"}));
  CHECK_FALSE(state.Apply({"a", 1, "one"}));
  CHECK_FALSE(state.Apply({"a", 2, "other two"}));
  CHECK(state.Apply({"a", 5, "five"}));
  CHECK(state.Find("a")->body == "five");
  CHECK(applied == std::vector<uint64_t>{2, 5});
}

TEST_CASE("digests are equal if and only if the revisions are equal") {
  Metrics metrics;
  ReplicatedState a(metrics);
  ReplicatedState b(metrics);
  a.Apply({"x", 1, ""});
  a.Apply({"y", 2, ""});
  b.Apply({"y", 1, ""});
  b.Apply({"x", 1, ""});
  CHECK(a.digest() != b.digest());
  for (const StateEntry& entry : a.NewerThan(b.Revisions())) {
    b.Apply(entry);
  }
  CHECK(a.digest() == b.digest());
  CHECK(a.NewerThan(b.Revisions()).empty());
}

}  // namespace
}  // namespace redwing
