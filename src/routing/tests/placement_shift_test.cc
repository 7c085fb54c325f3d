// Plays a load that changes in one region: requests move to the other region
// and back little by little.

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "framework/wire/digest.h"
#include "routing/place_choice.h"
#include "routing/shift_limiter.h"
#include "routing/tests/target_model.h"

namespace redwing {
namespace {

constexpr size_t kRegions = 3;
constexpr size_t kTargetsPerRegion = 4;
constexpr int kObjects = 60;
constexpr double kAimMs = 500;
constexpr double kWayMs = 24;
constexpr double kPlayedMs = 120'000;
// Until then objects are cold and the load is not settled.
constexpr double kSettledMs = 20'000;
constexpr double kWindowMs = 2'000;
constexpr double kStepMs = 250;
// Of a region's requests, from one window to the next: the platform's bound.
constexpr double kMaxShift = 0.15;
// What the limiter is set to, so that many instances together keep the bound.
constexpr double kLimit = 0.105;

struct Placed {
  double at = 0;
  size_t region = 0;
};

// Requests a second at a time.
using Load = double (*)(double now);

// The near region runs 63 warm requests a second.
double Wave(double now) {
  return 40 * (1 + 0.55 * std::sin(2 * M_PI * now / 36'000));
}

// Twice the load for three seconds, again and again.
double Bursts(double now) {
  return std::fmod(now, 15'000) < 3'000 ? 90 : 45;
}

std::vector<Placed> Play(Load load, double max_change, uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> object(0, kObjects - 1);
  std::array<TargetModel, kRegions * kTargetsPerRegion> targets;
  ServiceTimes times;
  ShiftLimiter limiter(max_change);
  std::vector<Placed> placed;
  for (double now = 0; now < kPlayedMs;) {
    now += std::exponential_distribution<double>(load(now) / 1000)(random);
    const TimePoint at = TimePoint(std::chrono::hours(1)) +
                         Microseconds(static_cast<int64_t>(now * 1000));
    const int key = object(random);
    std::vector<PlaceCandidate> list(targets.size());
    for (size_t i = 0; i < list.size(); ++i) {
      list[i].slots = TargetModel::kSlots;
      list[i].score = Hash64(std::to_string(key) + "/" + std::to_string(i));
      list[i].work = targets[i].Work(now);
      list[i].region = i / kTargetsPerRegion;
      list[i].travel = i < kTargetsPerRegion ? 0 : kWayMs;
    }
    const ShiftLimiter::Bounds bounds = limiter.BoundsAt(at);
    for (PlaceCandidate& candidate : list) {
      candidate.allowed = bounds.Allows(candidate.region);
    }
    const std::optional<size_t> chosen =
        ChoosePlace(times, kAimMs - times.warm_ms(), &list);
    if (!chosen) {
      continue;
    }
    limiter.Record(list[*chosen].region, at);
    bool warm = false;
    targets[*chosen].Run(key, now, &warm);
    times.Learn(warm, Milliseconds(static_cast<int64_t>(
                          warm ? TargetModel::kWarmMs : TargetModel::kColdMs)));
    placed.push_back({now, list[*chosen].region});
  }
  return placed;
}

// Parts of the requests of a window that ran in each region.
std::array<double, kRegions> Parts(const std::vector<Placed>& placed,
                                   double from) {
  std::array<double, kRegions> parts{};
  double all = 0;
  for (const Placed& request : placed) {
    if (request.at >= from && request.at < from + kWindowMs) {
      all += 1;
      parts[request.region] += 1;
    }
  }
  for (double& part : parts) {
    part /= std::max(1.0, all);
  }
  return parts;
}

// Returns the largest part of the requests that ran in another region than in
// the window before.
double WorstShift(const std::vector<Placed>& placed) {
  double worst = 0;
  for (double from = kSettledMs; from + 2 * kWindowMs < kPlayedMs;
       from += kStepMs) {
    const std::array<double, kRegions> before = Parts(placed, from);
    const std::array<double, kRegions> after = Parts(placed, from + kWindowMs);
    double moved = 0;
    for (size_t i = 0; i < kRegions; ++i) {
      moved += std::max(0.0, after[i] - before[i]);
    }
    worst = std::max(worst, moved);
  }
  return worst;
}

TEST_CASE("a rising and falling load moves between regions little by little") {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    CAPTURE(seed);
    CHECK(WorstShift(Play(&Wave, kLimit, seed)) <= kMaxShift);
  }
}

TEST_CASE("a burst moves little by little, and so does its end") {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    CAPTURE(seed);
    CHECK(WorstShift(Play(&Bursts, kLimit, seed)) <= kMaxShift);
    // Without the limiter it would not.
    CHECK(WorstShift(Play(&Bursts, 0, seed)) > kMaxShift);
  }
}

// A region's instances, each with its own limiter, that hear of each other's
// placements a while later. All requests want to run near.
class SharedLimiters {
 public:
  SharedLimiters() : limiters_(kInstances, ShiftLimiter(kLimit)) {}

  // Places a request at one instance; it runs near where that is allowed.
  size_t Place(size_t instance, TimePoint now) {
    Deliver(now);
    const ShiftLimiter::Bounds bounds = limiters_[instance].BoundsAt(now);
    const size_t region = bounds.Allows(kNearRegion) ? kNearRegion : 1;
    Note(instance, region, now);
    return region;
  }

  // Counts a request that runs in a region whatever the bounds say.
  void Note(size_t instance, size_t region, TimePoint now) {
    Deliver(now);
    limiters_[instance].Record(region, now);
    news_.push_back({instance, region, now + kNewsDelay});
  }

 private:
  static constexpr size_t kInstances = 11;
  static constexpr Milliseconds kNewsDelay{100};

  struct News {
    size_t from;
    size_t region;
    TimePoint at;
  };

  void Deliver(TimePoint now) {
    while (!news_.empty() && news_.front().at <= now) {
      for (size_t i = 0; i < limiters_.size(); ++i) {
        if (i != news_.front().from) {
          limiters_[i].Record(news_.front().region, now);
        }
      }
      news_.pop_front();
    }
  }

  std::vector<ShiftLimiter> limiters_;
  std::deque<News> news_;
};

// Half of a heavy load ran in another region; then the load ends, and the few
// callers that were refused come back and find room near.
TEST_CASE("the few requests after a heavy load keep the bound") {
  constexpr int kHeavy = 2'000;  // requests, one each 5 ms
  constexpr int kLate = 40;      // requests, one each 50 ms
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<size_t> instance(0, 10);
    SharedLimiters region;
    TimePoint now(std::chrono::hours(1));
    for (int i = 0; i < kHeavy; ++i) {
      now += Milliseconds(5);
      region.Note(instance(random), static_cast<size_t>(i % 2), now);
    }
    int near = 0;
    for (int i = 0; i < kLate; ++i) {
      now += Milliseconds(50);
      near += region.Place(instance(random), now) == kNearRegion ? 1 : 0;
    }
    const int moved = near - kLate / 2;
    CHECK(moved <= kMaxShift * kLate);
    // It does move.
    CHECK(moved > 0);
  }
}

TEST_CASE("few requests can move at all") {
  ShiftLimiter limiter(kLimit);
  const TimePoint start(std::chrono::hours(1));
  // Five a window, all near, then one that wants to go elsewhere.
  for (int i = 0; i < 10; ++i) {
    limiter.Record(kNearRegion, start + i * Milliseconds(400));
  }
  CHECK(limiter.BoundsAt(start + Milliseconds(4000)).Allows(1));
}

TEST_CASE("a request that found no room does not count") {
  ShiftLimiter limiter(kLimit);
  const TimePoint start(std::chrono::hours(1));
  for (int i = 0; i < 400; ++i) {
    limiter.Record(kNearRegion, start + i * Milliseconds(10));
  }
  const TimePoint end = start + Milliseconds(4000);
  for (int i = 0; i < 1000; ++i) {
    limiter.Record(kNearRegion, end);
    limiter.TakeBack(kNearRegion, end);
  }
  for (int i = 0; i < 20; ++i) {
    limiter.Record(1, end);
  }
  CHECK_FALSE(limiter.BoundsAt(end + Milliseconds(1500)).Allows(1));
}

TEST_CASE("moves among other regions are bound as well") {
  ShiftLimiter limiter(kLimit);
  const TimePoint start(std::chrono::hours(1));
  for (int i = 0; i < 400; ++i) {
    limiter.Record(1, start + i * Milliseconds(10));
  }
  const TimePoint end = start + Milliseconds(4000);
  CHECK(limiter.BoundsAt(end).Allows(2));
  for (int i = 0; i < 60; ++i) {
    limiter.Record(2, end);
  }
  CHECK_FALSE(limiter.BoundsAt(end).Allows(2));
  CHECK_FALSE(limiter.BoundsAt(end).Allows(kNearRegion));
  CHECK_FALSE(limiter.BoundsAt(end).Allows(7));
  CHECK(limiter.BoundsAt(end).Allows(1));
  // What has been so for a while is the usual.
  CHECK(limiter.BoundsAt(end + std::chrono::seconds(10)).Allows(2));
}

}  // namespace
}  // namespace redwing
