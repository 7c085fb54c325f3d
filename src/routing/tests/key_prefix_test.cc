#include "routing/key_prefix.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("a prefix of a bound key is parsed into process and epoch") {
  const std::string prefix = KeyPrefix("0123456789abcdef", 42);
  const std::optional<BoundKey> bound = ParseBoundKey(prefix + "-transfer-7");
  REQUIRE(bound);
  CHECK(bound->process_id == "0123456789abcdef");
  CHECK(bound->epoch == 42);
}

TEST_CASE("keys without a valid prefix are not bound") {
  for (const char* key :
       {"", "plain", "0123456789abcdef-1", "0123456789abcdeg.1-x",
        "0123456789abcdef.-x", "0123456789abcdef.1x-y",
        "0123456789abcdef.99999999999-y", "0123456789abcdef.1"}) {
    CAPTURE(key);
    CHECK_FALSE(ParseBoundKey(key));
  }
}

}  // namespace
}  // namespace redwing
