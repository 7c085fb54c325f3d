#include "routing/candidate_choice.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

ServiceTimes Times(int warm_ms, int cold_ms) {
  ServiceTimes times;
  times.Learn(true, Milliseconds(warm_ms));
  times.Learn(false, Milliseconds(cold_ms));
  return times;
}

TargetCandidate Near(uint64_t score, double load) {
  TargetCandidate candidate;
  candidate.slots = 3;
  candidate.load = load;
  candidate.score = score;
  return candidate;
}

TargetCandidate Far(uint64_t score, double load, double round_trip_ms) {
  TargetCandidate candidate = Near(score, load);
  candidate.region = 1;
  candidate.round_trip_ms = round_trip_ms;
  return candidate;
}

constexpr double kLongWait = 1000;

TEST_CASE("a key is sent to its own target while that has a free slot") {
  std::vector<TargetCandidate> candidates = {Near(5, 0), Near(9, 2),
                                             Near(7, 0)};
  CHECK(ChooseCandidate(Times(200, 640), kLongWait, &candidates) == 1);
}

TEST_CASE("a short wait for the warm target is preferred to a cold run") {
  std::vector<TargetCandidate> candidates = {Near(9, 3), Near(5, 0)};
  CHECK(ChooseCandidate(Times(200, 640), kLongWait, &candidates) == 0);
}

TEST_CASE("a free target of the region is chosen if the wait is long") {
  std::vector<TargetCandidate> candidates = {Near(9, 30), Near(5, 0)};
  CHECK(ChooseCandidate(Times(200, 640), kLongWait * 10, &candidates) == 1);
}

TEST_CASE("a target whose rate limit admits nothing in time is passed over") {
  std::vector<TargetCandidate> candidates = {Near(9, 0), Near(5, 3)};
  candidates[0].rate_wait = kLongWait * 2;
  // The other one becomes the key's own target, for which the request waits.
  CHECK(ChooseCandidate(Times(200, 640), kLongWait, &candidates) == 1);
  candidates[0].rate_wait = 50;
  CHECK(ChooseCandidate(Times(200, 640), kLongWait, &candidates) == 0);
  candidates[0].rate_wait = candidates[1].rate_wait = kLongWait * 2;
  CHECK_FALSE(ChooseCandidate(Times(200, 640), kLongWait, &candidates));
}

TEST_CASE("a target that a key has visited counts as warm") {
  std::vector<TargetCandidate> candidates = {Near(9, 3), Near(5, 0)};
  candidates[1].visited = true;
  CHECK(ChooseCandidate(Times(200, 640), kLongWait, &candidates) == 1);
}

TEST_CASE("no candidate is chosen if none has a slot in time") {
  // No candidate has a slot in time: not the own target, not another one of the
  // region, which is full as well, and another region's second target is not
  // used although it is idle.
  std::vector<TargetCandidate> candidates = {Near(9, 9), Near(5, 3),
                                             Far(8, 9, 10), Far(4, 0, 10)};
  CHECK_FALSE(ChooseCandidate(Times(200, 640), 100, &candidates));
}

TEST_CASE("a request waits in another region only for a warm target") {
  std::vector<TargetCandidate> candidates = {Near(9, 30), Far(8, 3, 10)};
  // The key's own target in this region is full for longer than the request may
  // wait.
  CHECK_FALSE(ChooseCandidate(Times(200, 640), 300, &candidates));
  candidates[1].visited = true;
  CHECK(ChooseCandidate(Times(200, 640), 300, &candidates) == 1);
  candidates[1].visited = false;
  candidates[1].load = 2;
  CHECK(ChooseCandidate(Times(200, 640), 300, &candidates) == 1);
}

// Guards against refusals while the own target of the only region that the
// request may use is full for a moment.
TEST_CASE("a request that may not run near waits for its own target") {
  std::vector<TargetCandidate> candidates = {Near(9, 0), Far(8, 3, 10),
                                             Far(4, 0, 10)};
  candidates[0].allowed = false;
  CHECK(ChooseCandidate(Times(200, 640), 300, &candidates) == 1);
  CHECK_FALSE(ChooseCandidate(Times(200, 640), 20, &candidates));
}

TEST_CASE("the round trip to another region counts against the wait") {
  std::vector<TargetCandidate> candidates = {Far(9, 3, 110)};
  CHECK(ChooseCandidate(Times(200, 640), 200, &candidates) == 0);
  CHECK_FALSE(ChooseCandidate(Times(200, 640), 150, &candidates));
}

TEST_CASE("a faster target is preferred to a slow own target") {
  std::vector<TargetCandidate> candidates = {Near(9, 0), Near(5, 0)};
  candidates[0].slowness = 6;
  CHECK(ChooseCandidate(Times(200, 640), kLongWait, &candidates) == 1);
}

TEST_CASE("run times are learned from the first sample") {
  ServiceTimes times;
  CHECK(times.cold_ms() > times.warm_ms());
  times.Learn(false, Milliseconds(900));
  CHECK(times.cold_ms() == Approx(900));
  CHECK(times.warm_ms() < 900);
  times.Learn(true, Milliseconds(150));
  CHECK(times.warm_ms() == Approx(150));
  for (int i = 0; i < 200; ++i) {
    times.Learn(true, Milliseconds(300));
  }
  CHECK(times.warm_ms() == Approx(300).epsilon(0.01));
}

TEST_CASE("a candidate that is not allowed is chosen only if none is allowed") {
  std::vector<TargetCandidate> candidates(2);
  candidates[0].load = 1;
  candidates[0].score = 2;
  candidates[1].region = 1;
  candidates[1].round_trip_ms = 20;
  candidates[1].score = 1;
  const ServiceTimes times = Times(200, 640);
  candidates[1].allowed = false;
  CHECK(ChooseCandidate(times, kLongWait, &candidates) == 0);
  CHECK_FALSE(ChooseCandidate(times, 10, &candidates));
  candidates[1].allowed = true;
  candidates[0].allowed = false;
  candidates[0].load = 0;
  CHECK(ChooseCandidate(times, kLongWait, &candidates) == 1);
  // A request that may run nowhere else is not rejected because of the limit.
  candidates[1].allowed = false;
  CHECK(ChooseCandidate(times, kLongWait, &candidates) == 0);
}

}  // namespace
}  // namespace redwing
