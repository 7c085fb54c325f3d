#include "framework/http/retry_after.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

TEST_CASE("seconds and their fractions are read, rounded up") {
  CHECK(ParseRetryAfter("0") == Milliseconds(0));
  CHECK(ParseRetryAfter("2") == Milliseconds(2'000));
  CHECK(ParseRetryAfter("0.2") == Milliseconds(200));
  CHECK(ParseRetryAfter("0.0001") == Milliseconds(1));
  CHECK(ParseRetryAfter("7200") == std::chrono::hours(2));
  CHECK(ParseRetryAfter("99999999999999999999") == kLongestRetryAfter);
}

}  // namespace
}  // namespace redwing
