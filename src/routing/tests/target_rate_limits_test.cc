// Rate limits of targets: how they are stored, and how they hold under load
// while slot leaders change.

#include "routing/target_rate_limits.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <random>
#include <vector>

#include "membership/heartbeat.h"
#include "routing/target_rate_limiter.h"
#include "routing/target_state.h"

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
const TargetStart kTarget("t", 1'000);

TEST_CASE("a rate limit lasts until a response that names none") {
  TargetRateLimits limits;
  CHECK_FALSE(limits.RecordFromResponse(kTarget, kNoRateLimit, kStart));
  CHECK(limits.empty());
  CHECK(limits.RecordFromResponse(kTarget, 2, kStart));
  CHECK_FALSE(limits.RecordFromResponse(kTarget, 2, kStart));
  CHECK(limits.RateOf(kTarget) == 2);
  // A later start of the target has named nothing.
  CHECK(limits.RateOf({"t", 1'001}) == kNoRateLimit);
  CHECK(limits.RecordFromResponse(kTarget, kNoRateLimit, kStart));
  CHECK(limits.RateOf(kTarget) == kNoRateLimit);
}

TEST_CASE("a target with a limit of zero is still asked now and then") {
  TargetRateLimits limits;
  limits.RecordFromResponse(kTarget, 0, kStart);
  CHECK(limits.RateOf(kTarget) == TargetRateLimits::kMinRate);
}

TEST_CASE("a later response outweighs what a peer received before it") {
  TargetRateLimits limits;
  limits.RecordFromResponse(kTarget, kNoRateLimit, kStart);
  limits.RecordFromResponse(kTarget, 5, kStart);
  CHECK_FALSE(limits.RecordFromPeer({kTarget, 2, 100, 0}, kStart));
  CHECK(limits.RateOf(kTarget) == 5);
  const TimePoint later = kStart + Milliseconds(500);
  CHECK(limits.RecordFromPeer({kTarget, 3, 100, 0}, later));
  CHECK(limits.RateOf(kTarget) == 3);
  CHECK_FALSE(limits.RecordFromPeer({{"t", 900}, 1, 0, 0}, later));
  for (const double invalid : {-1.0, std::nan("")}) {
    CHECK_FALSE(limits.RecordFromPeer({kTarget, invalid, 0, 0}, later));
  }
  CHECK(limits.RateOf(kTarget) == 3);
}

TEST_CASE("only limits received in responses are announced") {
  TargetRateLimits limits;
  limits.RecordFromPeer({{"from_peer", 1}, 2, 0, 0}, kStart);
  CHECK(limits.NextToAnnounce(kStart).empty());
  limits.RecordFromResponse(kTarget, 2, kStart);
  const TimePoint later = kStart + Milliseconds(300);
  const std::vector<TargetRateReport> reports = limits.NextToAnnounce(later);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].target == kTarget);
  CHECK(reports[0].rate == 2);
  CHECK(reports[0].age_ms == 300);
  // The end of a limit is announced as well.
  limits.RecordFromResponse(kTarget, kNoRateLimit, later);
  CHECK(limits.NextToAnnounce(later).at(0).rate == kNoRateLimit);
}

TEST_CASE("a target without a rate limit is not slowed down") {
  TargetState state({"t", "127.0.0.1:80", "r", "r-a", 4, 1'000}, kStart);
  TimePoint now = kStart + std::chrono::seconds(10);
  state.SetRateShare(1, now);
  for (int i = 0; i < 3; ++i) {
    CHECK(state.Available(now));
    state.Begin(now);
  }
  state.SetRateLimit(2, now);
  now += std::chrono::seconds(1);
  CHECK(state.Available(now));
  state.Begin(now);
  state.End(AttemptOutcome::kAnswered, Milliseconds(1), now);
  CHECK_FALSE(state.Available(now));
  CHECK(state.RateLimitWait(0, now) == Milliseconds(500));
  CHECK(state.RateLimitWait(1, now) == Milliseconds(1'000));
  state.SetRateShare(0, now);
  CHECK_FALSE(state.Available(now + std::chrono::hours(1)));
  state.SetRateLimit(kNoRateLimit, now);
  CHECK(state.Available(now));
}

// One instance that may lead the target.
struct Sender {
  TargetRateLimits limits;
  TargetRateLimiter limiter;

  void Apply(bool leads, TimePoint now) {
    const double rate = limits.RateOf(kTarget);
    limiter.SetRate(rate == kNoRateLimit ? 0 : rate, leads ? 1 : 0, now);
  }
  bool MaySend(TimePoint now) const {
    return limits.RateOf(kTarget) == kNoRateLimit || limiter.CanSpend(now);
  }
};

// Plays requests for one target that names a limit, at instances that take
// turns in leading it. For some time after a change both the former and the new
// leader send, unless the former one restarts: it then sends nothing until it
// leads again, and has forgotten the limit. Returns the largest number of
// requests within 4 s.
size_t MostInWindow(uint64_t seed, double limit) {
  constexpr size_t kSenders = 3;
  constexpr Milliseconds kStep{5};
  constexpr Milliseconds kRunTime{200};
  constexpr Milliseconds kHeartbeatInterval{100};
  constexpr Milliseconds kOverlap{500};
  constexpr Milliseconds kLed{7'000};
  constexpr std::chrono::seconds kPlayed{120};
  constexpr std::chrono::seconds kWindow{4};
  struct Response {
    TimePoint at;
    size_t sender;
  };
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<size_t> any(0, kSenders - 1);
  std::bernoulli_distribution restarts(0.5);
  std::array<Sender, kSenders> senders;
  std::deque<Response> responses;
  std::deque<TimePoint> sent;
  size_t most = 0;
  size_t leader = 0;
  size_t former = 0;
  TimePoint changed_at = kStart;
  TimePoint heartbeat_at = kStart;
  senders[0].limits.RecordFromResponse(kTarget, limit, kStart);
  for (TimePoint now = kStart; now < kStart + kPlayed; now += kStep) {
    if (now - changed_at >= kLed) {
      changed_at = now;
      former = leader;
      leader = any(random);
      if (former != leader && restarts(random)) {
        senders[former] = Sender();
        former = leader;
      }
    }
    while (!responses.empty() && responses.front().at <= now) {
      senders[responses.front().sender].limits.RecordFromResponse(kTarget,
                                                                  limit, now);
      responses.pop_front();
    }
    if (now - heartbeat_at >= kHeartbeatInterval) {
      heartbeat_at = now;
      for (Sender& from : senders) {
        for (const TargetRateReport& report : from.limits.NextToAnnounce(now)) {
          for (Sender& to : senders) {
            to.limits.RecordFromPeer(report, now);
          }
        }
      }
    }
    for (size_t i = 0; i < kSenders; ++i) {
      const bool leads =
          i == leader || (i == former && now - changed_at < kOverlap);
      senders[i].Apply(leads, now);
      if (leads && senders[i].MaySend(now)) {
        senders[i].limiter.Spend(now);
        sent.push_back(now);
        responses.push_back({now + kRunTime, i});
      }
    }
    while (!sent.empty() && now - sent.front() >= kWindow) {
      sent.pop_front();
    }
    most = std::max(most, sent.size());
  }
  return most;
}

TEST_CASE("a rate limit holds over all instances while slot leaders change") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    for (const double limit : {0.5, 2.0, 3.6, 20.0}) {
      CAPTURE(seed, limit);
      CHECK(static_cast<double>(MostInWindow(seed, limit)) <=
            1.5 * limit * 4 + 5);
    }
  }
}

}  // namespace
}  // namespace redwing
