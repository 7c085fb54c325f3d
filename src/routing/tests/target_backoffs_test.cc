// Backoffs of targets: how they are stored, and how they hold under load.

#include "routing/target_backoffs.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

#include "routing/target_state.h"

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const TargetStart kTarget("t", 1'000);

TEST_CASE(
    "a longer backoff extends the present one, a shorter one is ignored") {
  TargetBackoffs backoffs;
  CHECK(backoffs.EndOf(kTarget) == TimePoint());
  backoffs.Record(kTarget, Milliseconds(2'000), kStart);
  const TimePoint later = kStart + Milliseconds(500);
  CHECK(backoffs.Record(kTarget, Milliseconds(200), later) ==
        kStart + Milliseconds(2'000));
  CHECK(backoffs.Record(kTarget, Milliseconds(3'000), later) ==
        kStart + Milliseconds(3'500));
  CHECK(backoffs.EndOf({"t", 1'001}) == TimePoint());
}

TEST_CASE("a backoff is kept while the target is briefly not listed") {
  TargetBackoffs backoffs;
  const TimePoint end =
      backoffs.Record(kTarget, std::chrono::minutes(5), kStart);
  backoffs.Retain([](uint64_t) { return false; }, kStart + Milliseconds(1));
  CHECK(backoffs.EndOf(kTarget) == end);
}

TEST_CASE(
    "after a backoff a target gets one request at a time until a success") {
  TargetState state({"t", "127.0.0.1:80", "r", "r-a", 4, 1'000}, kStart);
  TimePoint now = kStart + std::chrono::seconds(10);
  state.SetBackoff(now + Milliseconds(1'000));
  CHECK_FALSE(state.Available(now));
  CHECK(state.BackoffLeft(now) == Milliseconds(1'000));
  now += Milliseconds(1'000);
  CHECK(state.Available(now));
  CHECK(state.Limit(now) == 1);
  state.Begin(now);
  state.End(AttemptOutcome::kAnswered, Milliseconds(20), now);
  CHECK(state.Limit(now) == 4);
}

// Result of a simulated load on targets that reject requests and ask for a
// backoff. The instance sends what its records allow; a response takes
// kResponseDelayMs to arrive.
struct LoadResult {
  int sent = 0;
  int answered = 0;
  // Largest number of requests that reached one target during one backoff,
  // counted from kGrace after its response arrived.
  int max_during_backoff = 0;
};

LoadResult RunLoad(uint64_t seed, double reject_fraction, double per_second) {
  constexpr int kTargets = 6;
  constexpr double kResponseDelayMs = 400;
  constexpr Milliseconds kGrace{500};
  struct Backoff {
    TimePoint from;
    TimePoint end;
    int requests = 0;
  };
  struct Response {
    TimePoint at;
    int target;
    Milliseconds backoff;
  };
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second / 1000);
  std::uniform_real_distribution<double> uniform;
  std::uniform_int_distribution<int> any(0, kTargets - 1);
  TargetBackoffs backoffs;
  std::vector<std::vector<Backoff>> backoffs_of(kTargets);
  std::deque<Response> in_transit;
  LoadResult result;
  for (double ms = 0; ms < 60'000; ms += gap(random)) {
    const TimePoint now =
        kStart + Microseconds(static_cast<int64_t>(ms * 1000));
    while (!in_transit.empty() && in_transit.front().at <= now) {
      const Response response = in_transit.front();
      in_transit.pop_front();
      backoffs.Record({std::to_string(response.target), 1}, response.backoff,
                      response.at);
      backoffs_of[response.target].push_back(
          {response.at + kGrace, response.at + response.backoff});
    }
    const int target = any(random);
    if (backoffs.EndOf({std::to_string(target), 1}) > now) {
      continue;
    }
    ++result.sent;
    for (Backoff& time : backoffs_of[target]) {
      time.requests += now >= time.from && now < time.end ? 1 : 0;
      result.max_during_backoff =
          std::max(result.max_during_backoff, time.requests);
    }
    if (uniform(random) >= reject_fraction) {
      ++result.answered;
      continue;
    }
    const Milliseconds backoff(
        static_cast<int64_t>(200 + 9'800 * uniform(random)));
    in_transit.push_back(
        {now + Microseconds(static_cast<int64_t>(kResponseDelayMs * 1000)),
         target, backoff});
  }
  return result;
}

TEST_CASE("under load no request reaches a target during its backoff") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    for (const double reject_fraction : {0.05, 0.33, 1.0}) {
      const LoadResult result = RunLoad(seed, reject_fraction, 200);
      CAPTURE(seed, reject_fraction, result.sent, result.answered);
      CHECK(result.max_during_backoff == 0);
      CHECK(result.sent > 0);
    }
  }
}

}  // namespace
}  // namespace redwing
