#include "delivery/internal/wait_policy.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

WaitRequest Request(int age, int aim, int left, int run) {
  return {Milliseconds(age), Milliseconds(aim), Milliseconds(left),
          Milliseconds(run)};
}

TEST_CASE("a request waits while its answer can be in time") {
  CHECK(AllowedWait(Request(0, 500, 3000, 200)) == Milliseconds(300));
  CHECK(AllowedWait(Request(100, 500, 2900, 200)) == Milliseconds(200));
}

TEST_CASE("a late request takes a slot that is soon free, or none") {
  CHECK(AllowedWait(Request(900, 500, 2000, 200)) == Milliseconds(125));
}

TEST_CASE("nothing waits for an answer that nobody waits for") {
  CHECK(AllowedWait(Request(0, 500, 150, 200)) == Milliseconds(0));
  CHECK(AllowedWait(Request(0, 500, 250, 200)) == Milliseconds(50));
}

TEST_CASE("refused callers come back after the wait, apart and in time") {
  const Clock::duration left = std::chrono::seconds(3);
  CHECK(RetryAfter(Milliseconds(100), left, 0) == Milliseconds(100));
  CHECK(RetryAfter(Milliseconds(100), left, 1) == Milliseconds(200));
  CHECK(RetryAfter(Milliseconds(60'000), left, 0.5) == Milliseconds(1000));
  CHECK(RetryAfter(Milliseconds(0), left, 0) > Milliseconds(0));
}

TEST_CASE("a request is late when its run would end after the target latency") {
  WaitRequest request;
  request.run = Milliseconds(200);
  request.age = Milliseconds(400);
  CHECK_FALSE(IsLate(request));  // no target latency
  request.target_latency = Milliseconds(500);
  CHECK(IsLate(request));
  request.age = Milliseconds(300);
  CHECK_FALSE(IsLate(request));
}

}  // namespace
}  // namespace redwing
