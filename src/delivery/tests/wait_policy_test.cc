#include "delivery/internal/wait_policy.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

WaitRequest Request(int age, int target_latency, int left, int run) {
  return {Milliseconds(age), Milliseconds(target_latency), Milliseconds(left),
          Milliseconds(run)};
}

TEST_CASE("a request waits as long as its response can be in time") {
  CHECK(AllowedWait(Request(0, 500, 3000, 200)) == Milliseconds(300));
  CHECK(AllowedWait(Request(100, 500, 2900, 200)) == Milliseconds(200));
}

TEST_CASE("a late request waits for a quarter of the target latency") {
  CHECK(AllowedWait(Request(900, 500, 2000, 200)) == Milliseconds(125));
}

TEST_CASE("the wait ends in time for the run to finish before the deadline") {
  CHECK(AllowedWait(Request(0, 500, 150, 200)) == Milliseconds(0));
  CHECK(AllowedWait(Request(0, 500, 250, 200)) == Milliseconds(50));
}

TEST_CASE("rejected callers retry after the wait, spread and in time") {
  const Clock::duration left = std::chrono::seconds(3);
  CHECK(RetryAfter(Milliseconds(100), left, 0) == Milliseconds(100));
  CHECK(RetryAfter(Milliseconds(100), left, 1) == Milliseconds(200));
  CHECK(RetryAfter(Milliseconds(60'000), left, 0.5) == Milliseconds(1000));
  CHECK(RetryAfter(Milliseconds(0), left, 0) > Milliseconds(0));
}

TEST_CASE("a request is late if its run would end after the target latency") {
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
