#include "ctl/decision_list.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

using nlohmann::json;

TEST_CASE("decisions of all instances are listed by time") {
  const json answer = {
      {"instances",
       {{{"instance", "far"},
         {"decisions", {{{"at_ms", 1500}, {"text", "event=attempt"}}}}},
        {{"instance", "near"},
         {"decisions",
          {{{"at_ms", 1499}, {"text", "event=first"}},
           {{"at_ms", 2001}, {"text", "event=request"}}}}},
        {{"instance", "lost"}, {"unreachable", "timed out"}}}}};
  CHECK(DecisionList(answer) ==
        "1970-01-01T00:00:01.499Z near: event=first\n"
        "1970-01-01T00:00:01.500Z far: event=attempt\n"
        "1970-01-01T00:00:02.001Z near: event=request\n"
        "lost could not be asked: timed out\n");
}

TEST_CASE("an unknown request is said to be unknown") {
  const json answer = {
      {"instances", {{{"instance", "a"}, {"decisions", json::array()}}}}};
  CHECK(DecisionList(answer) ==
        "no instance that could be asked remembers the request\n");
}

}  // namespace
}  // namespace redwing
