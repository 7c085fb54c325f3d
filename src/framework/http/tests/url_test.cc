#include "framework/http/url.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("targets are split and decoded") {
  const std::optional<Url> url = ParseTarget("/a%20b?x=%41&y&z=1=2");
  REQUIRE(url);
  CHECK(url->path == "/a b");
  CHECK(*url->Query("x") == "A");
  CHECK(url->Query("y")->empty());
  CHECK(*url->Query("z") == "1=2");
  CHECK_FALSE(url->Query("w"));
}

TEST_CASE("malformed targets and dot segments are refused") {
  for (const char* target :
       {"", "x", "http://h/", "/a%", "/a%4", "/a%zz", "/a%00", "/a/../b",
        "/a/%2e%2e/b", "/.", "/a#b", "/?x=%"}) {
    CAPTURE(target);
    CHECK_FALSE(ParseTarget(target));
  }
}

}  // namespace
}  // namespace redwing
