#include "framework/http/carried_ids.h"

#include <catch2/catch.hpp>
#include <string>

namespace redwing {
namespace {

// Guards against a response that is matched to a later request with its id.
TEST_CASE("a connection knows every id that it has carried") {
  CarriedIds ids;
  CHECK_FALSE(ids.Contains("request-0"));
  for (size_t i = 0; i < CarriedIds::kMaxIds; ++i) {
    REQUIRE_FALSE(ids.full());
    ids.Add("request-" + std::to_string(i));
  }
  CHECK(ids.Contains("request-0"));
  CHECK(ids.Contains("request-" + std::to_string(CarriedIds::kMaxIds - 1)));
  CHECK_FALSE(ids.Contains("another"));
  CHECK(ids.full());
}

}  // namespace
}  // namespace redwing
