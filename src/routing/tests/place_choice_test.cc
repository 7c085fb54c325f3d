#include "routing/place_choice.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

ServiceTimes Times(int warm_ms, int cold_ms) {
  ServiceTimes times;
  times.Learn(true, Milliseconds(warm_ms));
  times.Learn(false, Milliseconds(cold_ms));
  return times;
}

PlaceCandidate Near(uint64_t score, double work) {
  PlaceCandidate candidate;
  candidate.slots = 3;
  candidate.work = work;
  candidate.score = score;
  return candidate;
}

PlaceCandidate Far(uint64_t score, double work, double travel) {
  PlaceCandidate candidate = Near(score, work);
  candidate.region = 1;
  candidate.travel = travel;
  return candidate;
}

constexpr double kLongWait = 1000;

TEST_CASE("a key goes to its own target while that has room") {
  std::vector<PlaceCandidate> candidates = {Near(5, 0), Near(9, 2), Near(7, 0)};
  CHECK(ChoosePlace(Times(200, 640), kLongWait, &candidates) == 1);
}

TEST_CASE("a short wait for the warm target beats a cold run next to it") {
  std::vector<PlaceCandidate> candidates = {Near(9, 3), Near(5, 0)};
  CHECK(ChoosePlace(Times(200, 640), kLongWait, &candidates) == 0);
}

TEST_CASE("a long wait sends the key to a free target of the region") {
  std::vector<PlaceCandidate> candidates = {Near(9, 30), Near(5, 0)};
  CHECK(ChoosePlace(Times(200, 640), kLongWait * 10, &candidates) == 1);
}

TEST_CASE("a target that a key has visited counts as warm") {
  std::vector<PlaceCandidate> candidates = {Near(9, 3), Near(5, 0)};
  candidates[1].visited = true;
  CHECK(ChoosePlace(Times(200, 640), kLongWait, &candidates) == 1);
}

TEST_CASE("without a slot in time nothing is chosen") {
  // Neither the own target, nor a cold one beside it that is full as well, nor
  // a second one in another region, however idle it is.
  std::vector<PlaceCandidate> candidates = {Near(9, 9), Near(5, 3),
                                            Far(8, 9, 10), Far(4, 0, 10)};
  CHECK_FALSE(ChoosePlace(Times(200, 640), 100, &candidates));
}

TEST_CASE("a key waits in another region only for a warm target") {
  std::vector<PlaceCandidate> candidates = {Near(9, 30), Far(8, 3, 10)};
  // Its own target here is full for longer than it may wait.
  CHECK_FALSE(ChoosePlace(Times(200, 640), 300, &candidates));
  candidates[1].visited = true;
  CHECK(ChoosePlace(Times(200, 640), 300, &candidates) == 1);
  candidates[1].visited = false;
  candidates[1].work = 2;
  CHECK(ChoosePlace(Times(200, 640), 300, &candidates) == 1);
}

TEST_CASE("the way to another region counts against the wait") {
  std::vector<PlaceCandidate> candidates = {Far(9, 3, 110)};
  CHECK(ChoosePlace(Times(200, 640), 200, &candidates) == 0);
  CHECK_FALSE(ChoosePlace(Times(200, 640), 150, &candidates));
}

TEST_CASE("a slow target is left for another one") {
  std::vector<PlaceCandidate> candidates = {Near(9, 0), Near(5, 0)};
  candidates[0].slowness = 6;
  CHECK(ChoosePlace(Times(200, 640), kLongWait, &candidates) == 1);
}

TEST_CASE("times are learned from the first sample on") {
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

TEST_CASE("a place that traffic may not move to is left out") {
  std::vector<PlaceCandidate> candidates(2);
  candidates[0].work = 1;
  candidates[0].score = 2;
  candidates[1].region = 1;
  candidates[1].travel = 20;
  candidates[1].score = 1;
  const ServiceTimes times = Times(200, 640);
  candidates[1].allowed = false;
  CHECK(ChoosePlace(times, kLongWait, &candidates) == 0);
  CHECK_FALSE(ChoosePlace(times, 10, &candidates));
  candidates[1].allowed = true;
  candidates[0].allowed = false;
  candidates[0].work = 0;
  CHECK(ChoosePlace(times, kLongWait, &candidates) == 1);
  // A request that may run nowhere else is not turned away for it.
  candidates[1].allowed = false;
  CHECK(ChoosePlace(times, kLongWait, &candidates) == 0);
}

}  // namespace
}  // namespace redwing
