#include "delivery/internal/request_trail.h"

#include <catch2/catch.hpp>
#include <string>

namespace redwing {
namespace {

TEST_CASE("decisions on a request are found oldest first") {
  RequestTrail trail(4);
  trail.Add({1, "a", "first"});
  trail.Add({2, "b", "other"});
  trail.Add({3, "a", "second"});
  const std::vector<RequestDecision> found = trail.Find("a");
  REQUIRE(found.size() == 2);
  CHECK(found[0].text == "first");
  CHECK(found[1].text == "second");
  CHECK(trail.Find("c").empty());
}

TEST_CASE("at full capacity the oldest decisions are replaced") {
  constexpr size_t kCapacity = 3;
  RequestTrail trail(kCapacity);
  for (int i = 0; i < 100; ++i) {
    trail.Add({i, "a", std::to_string(i)});
    trail.Add({i, "b", std::to_string(i)});
  }
  const std::vector<RequestDecision> a = trail.Find("a");
  const std::vector<RequestDecision> b = trail.Find("b");
  CHECK(a.size() + b.size() == kCapacity);
  REQUIRE(b.size() == 2);
  CHECK(b[0].text == "98");
  CHECK(b[1].text == "99");
}

TEST_CASE("long ids and texts are truncated and found by the full id") {
  RequestTrail trail(1);
  const std::string id(10'000, 'i');
  trail.Add({1, id, std::string(1'000'000, 't')});
  const std::vector<RequestDecision> found = trail.Find(id);
  REQUIRE(found.size() == 1);
  CHECK(found[0].request_id.size() + found[0].text.size() < 1024);
}

TEST_CASE("a trail with capacity 0 keeps nothing") {
  RequestTrail trail(0);
  trail.Add({1, "a", "first"});
  CHECK(trail.Find("a").empty());
}

}  // namespace
}  // namespace redwing
