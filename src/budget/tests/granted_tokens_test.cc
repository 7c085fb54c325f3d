#include "budget/granted_tokens.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TimePoint At(int ms) {
  return kStart + Milliseconds(ms);
}

TEST_CASE("granted tokens are spent once, earliest expiry first") {
  GrantedTokens tokens;
  tokens.Add({1, "a", 2, At(500)}, kStart);
  tokens.Add({2, "b", 1, At(300)}, kStart);
  CHECK(tokens.Amount(kStart) == Approx(3));
  CHECK(tokens.Spend(1, At(10)) == Approx(1));
  CHECK(tokens.TakeSpent("b") == std::vector<uint64_t>{2});
  CHECK(tokens.TakeSpent("b").empty());
  CHECK(tokens.Spend(5, At(10)) == Approx(2));
  CHECK(tokens.TakeSpent("a") == std::vector<uint64_t>{1});
  CHECK(tokens.Amount(At(10)) == Approx(0));
}

TEST_CASE("a partly spent grant is not reported as spent") {
  GrantedTokens tokens;
  tokens.Add({1, "a", 2, At(500)}, kStart);
  CHECK(tokens.Spend(1, At(10)) == Approx(1));
  CHECK(tokens.TakeSpent("a").empty());
}

TEST_CASE("granted tokens expire also if the process was paused") {
  GrantedTokens tokens;
  tokens.Add({1, "a", 2, At(500)}, kStart);
  // Long after the expiry, as after a pause of the process.
  CHECK(tokens.Amount(At(30'000)) == Approx(0));
  CHECK(tokens.Spend(1, At(30'000)) == Approx(0));
  tokens.Add({2, "a", 2, At(500)}, At(600));
  CHECK(tokens.Amount(At(600)) == Approx(0));
}

}  // namespace
}  // namespace redwing
