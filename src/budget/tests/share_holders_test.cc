#include "budget/internal/share_holders.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE(
    "share owners are serialized and parsed, and their free parts add up") {
  ShareHolders holders;
  holders.by_instance["a"] = {"p1", "r1", 400'000, 1'000'000, false, true};
  holders.by_instance["b"] = {"p2", "r2", 100'000, 250'000, true, false};
  const ShareHolders read = ShareHolders::Parse(holders.Text());
  CHECK(read == holders);
  CHECK(read.FreeParts(BudgetScope::kFleet, "r1") == 500'000);
  CHECK(read.FreeParts(BudgetScope::kRegion, "r1") == 0);
  CHECK(read.FreeParts(BudgetScope::kRegion, "r2") == 750'000);
}

TEST_CASE("malformed share owners are skipped") {
  const ShareHolders read = ShareHolders::Parse(
      R"({"a": {"process": 7}, "b": 3, "c": {"process": "p", "region": "r",
          "fleet": 1, "in_region": 2}})");
  CHECK(read.by_instance.size() == 1);
  CHECK(read.by_instance.count("c") == 1);
  CHECK(ShareHolders::Parse("[1").by_instance.empty());
}

}  // namespace
}  // namespace redwing
