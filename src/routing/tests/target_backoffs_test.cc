// Times for which targets want nothing: what is kept of them, and load that
// meets them.

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

TEST_CASE("a longer time prolongs, a shorter one shortens nothing") {
  TargetBackoffs backoffs;
  CHECK(backoffs.EndOf(kTarget) == TimePoint());
  backoffs.Note(kTarget, Milliseconds(2'000), kStart);
  const TimePoint later = kStart + Milliseconds(500);
  CHECK(backoffs.Note(kTarget, Milliseconds(200), later) ==
        kStart + Milliseconds(2'000));
  CHECK(backoffs.Note(kTarget, Milliseconds(3'000), later) ==
        kStart + Milliseconds(3'500));
  CHECK(backoffs.EndOf({"t", 1'001}) == TimePoint());
}

TEST_CASE("a reload that drops the target for a while forgets no time") {
  TargetBackoffs backoffs;
  const TimePoint end = backoffs.Note(kTarget, std::chrono::minutes(5), kStart);
  backoffs.Retain([](uint64_t) { return false; }, kStart + Milliseconds(1));
  CHECK(backoffs.EndOf(kTarget) == end);
}

TEST_CASE("a target that wanted nothing gets one request at a time at first") {
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

// Targets that turn requests away and ask for time, under load. Each instance
// sends what its own memory allows, its news in the air for a while.
struct Played {
  int sent = 0;
  int answered = 0;
  // Most requests that reached one target inside a time that it had asked for,
  // from half a second after it asked.
  int most_inside = 0;
};

Played Play(uint64_t seed, double away_part, double per_second) {
  constexpr int kTargets = 6;
  constexpr double kLatestAnswerMs = 400;
  constexpr Milliseconds kGrace{500};
  struct Asked {
    TimePoint from;
    TimePoint end;
    int inside = 0;
  };
  struct Answer {
    TimePoint at;
    int target;
    Milliseconds backoff;
  };
  std::mt19937_64 random(seed);
  std::exponential_distribution<double> gap(per_second / 1000);
  std::uniform_real_distribution<double> uniform;
  std::uniform_int_distribution<int> any(0, kTargets - 1);
  TargetBackoffs backoffs;
  std::vector<std::vector<Asked>> asked(kTargets);
  std::deque<Answer> on_the_way;
  Played played;
  for (double ms = 0; ms < 60'000; ms += gap(random)) {
    const TimePoint now =
        kStart + Microseconds(static_cast<int64_t>(ms * 1000));
    while (!on_the_way.empty() && on_the_way.front().at <= now) {
      const Answer answer = on_the_way.front();
      on_the_way.pop_front();
      backoffs.Note({std::to_string(answer.target), 1}, answer.backoff,
                    answer.at);
      asked[answer.target].push_back(
          {answer.at + kGrace, answer.at + answer.backoff});
    }
    const int target = any(random);
    if (backoffs.EndOf({std::to_string(target), 1}) > now) {
      continue;
    }
    ++played.sent;
    for (Asked& time : asked[target]) {
      time.inside += now >= time.from && now < time.end ? 1 : 0;
      played.most_inside = std::max(played.most_inside, time.inside);
    }
    if (uniform(random) >= away_part) {
      ++played.answered;
      continue;
    }
    const Milliseconds backoff(
        static_cast<int64_t>(200 + 9'800 * uniform(random)));
    on_the_way.push_back(
        {now + Microseconds(static_cast<int64_t>(kLatestAnswerMs * 1000)),
         target, backoff});
  }
  return played;
}

TEST_CASE("under load no request reaches a target inside the time it asked") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    for (const double away_part : {0.05, 0.33, 1.0}) {
      const Played played = Play(seed, away_part, 200);
      CAPTURE(seed, away_part, played.sent, played.answered);
      CHECK(played.most_inside == 0);
      CHECK(played.sent > 0);
    }
  }
}

}  // namespace
}  // namespace redwing
