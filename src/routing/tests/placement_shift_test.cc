// Simulates a load that changes in one region: requests shift to other regions
// and back at a limited rate.

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "framework/wire/digest.h"
#include "routing/candidate_choice.h"
#include "routing/shift_limiter.h"
#include "routing/tests/target_model.h"

namespace redwing {
namespace {

constexpr size_t kRegions = 3;
constexpr size_t kTargetsPerRegion = 4;
constexpr int kObjects = 60;
constexpr double kDeadlineMs = 500;
constexpr double kRemoteRoundTripMs = 24;
constexpr double kDurationMs = 120'000;
// Time until objects are warm and the load is steady; earlier requests are not
// counted.
constexpr double kSettledMs = 20'000;
constexpr double kWindowMs = 2'000;
constexpr double kStepMs = 250;
// Upper bound that the platform sets on the fraction of a region's requests
// that shift from one window to the next.
constexpr double kMaxShift = 0.15;
// Limit set in each limiter; lower than the bound, so that many instances
// together keep it.
constexpr double kLimit = 0.105;

struct PlacedRequest {
  double at = 0;
  size_t region = 0;
};

// Returns the load at a time, in requests per second.
using Load = double (*)(double now);

// The near region can run 63 warm requests a second.
double Wave(double now) {
  return 40 * (1 + 0.55 * std::sin(2 * M_PI * now / 36'000));
}

// Doubles the load for three seconds in every fifteen.
double Bursts(double now) {
  return std::fmod(now, 15'000) < 3'000 ? 90 : 45;
}

std::vector<PlacedRequest> RunLoad(Load load,
                                   double max_change,
                                   uint64_t seed) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<int> object(0, kObjects - 1);
  std::array<TargetModel, kRegions * kTargetsPerRegion> targets;
  ServiceTimes times;
  ShiftLimiter limiter(max_change);
  std::vector<PlacedRequest> placed;
  for (double now = 0; now < kDurationMs;) {
    now += std::exponential_distribution<double>(load(now) / 1000)(random);
    const TimePoint at = TimePoint(std::chrono::hours(1)) +
                         Microseconds(static_cast<int64_t>(now * 1000));
    const int key = object(random);
    std::vector<TargetCandidate> list(targets.size());
    for (size_t i = 0; i < list.size(); ++i) {
      list[i].slots = TargetModel::kSlots;
      list[i].score = Hash64(std::to_string(key) + "/" + std::to_string(i));
      list[i].load = targets[i].Load(now);
      list[i].region = i / kTargetsPerRegion;
      list[i].round_trip_ms = i < kTargetsPerRegion ? 0 : kRemoteRoundTripMs;
    }
    const ShiftLimiter::Bounds bounds = limiter.BoundsAt(at);
    for (TargetCandidate& candidate : list) {
      candidate.allowed = bounds.Allows(candidate.region);
    }
    const std::optional<size_t> chosen =
        ChooseCandidate(times, kDeadlineMs - times.warm_ms(), &list);
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

// Returns the fraction of the requests of a window that ran in each region.
std::array<double, kRegions> RegionFractions(
    const std::vector<PlacedRequest>& placed,
    double from) {
  std::array<double, kRegions> fractions{};
  double all = 0;
  for (const PlacedRequest& request : placed) {
    if (request.at >= from && request.at < from + kWindowMs) {
      all += 1;
      fractions[request.region] += 1;
    }
  }
  for (double& fraction : fractions) {
    fraction /= std::max(1.0, all);
  }
  return fractions;
}

// Returns the largest fraction of the requests that ran in another region than
// in the window before.
double WorstShift(const std::vector<PlacedRequest>& placed) {
  double worst = 0;
  for (double from = kSettledMs; from + 2 * kWindowMs < kDurationMs;
       from += kStepMs) {
    const std::array<double, kRegions> before = RegionFractions(placed, from);
    const std::array<double, kRegions> after =
        RegionFractions(placed, from + kWindowMs);
    double moved = 0;
    for (size_t i = 0; i < kRegions; ++i) {
      moved += std::max(0.0, after[i] - before[i]);
    }
    worst = std::max(worst, moved);
  }
  return worst;
}

TEST_CASE("a rising and falling load shifts between regions within the limit") {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    CAPTURE(seed);
    CHECK(WorstShift(RunLoad(&Wave, kLimit, seed)) <= kMaxShift);
  }
}

TEST_CASE("a burst and its end shift between regions within the limit") {
  for (const uint64_t seed : {1, 2, 3, 4, 5}) {
    CAPTURE(seed);
    CHECK(WorstShift(RunLoad(&Bursts, kLimit, seed)) <= kMaxShift);
    // Without the limiter the bound is exceeded.
    CHECK(WorstShift(RunLoad(&Bursts, 0, seed)) > kMaxShift);
  }
}

// The instances of a region, each with its own limiter, that receive each
// other's placements after a delay. All requests prefer the near region.
class SharedLimiters {
 public:
  SharedLimiters() : limiters_(kInstances, ShiftLimiter(kLimit)) {}

  // Assigns a request at one instance; it runs in the near region if that is
  // allowed.
  size_t Assign(size_t instance, TimePoint now) {
    Deliver(now);
    const ShiftLimiter::Bounds bounds = limiters_[instance].BoundsAt(now);
    const size_t region = bounds.Allows(kNearRegion) ? kNearRegion : 1;
    Record(instance, region, now);
    return region;
  }

  // Counts a request that runs in a region regardless of the bounds.
  void Record(size_t instance, size_t region, TimePoint now) {
    Deliver(now);
    limiters_[instance].Record(region, now);
    reports_.push_back({instance, region, now + kReportDelay});
  }

 private:
  static constexpr size_t kInstances = 11;
  static constexpr Milliseconds kReportDelay{100};

  struct Report {
    size_t from;
    size_t region;
    TimePoint at;
  };

  void Deliver(TimePoint now) {
    while (!reports_.empty() && reports_.front().at <= now) {
      for (size_t i = 0; i < limiters_.size(); ++i) {
        if (i != reports_.front().from) {
          limiters_[i].Record(reports_.front().region, now);
        }
      }
      reports_.pop_front();
    }
  }

  std::vector<ShiftLimiter> limiters_;
  std::deque<Report> reports_;
};

// Guards against a shift beyond the bound after a load has ended: half of a
// heavy load ran in another region, then the few callers that were rejected
// before return and find free slots in the near region.
TEST_CASE("few requests after a heavy load shift within the limit") {
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
      region.Record(instance(random), static_cast<size_t>(i % 2), now);
    }
    int near = 0;
    for (int i = 0; i < kLate; ++i) {
      now += Milliseconds(50);
      near += region.Assign(instance(random), now) == kNearRegion ? 1 : 0;
    }
    const int moved = near - kLate / 2;
    CHECK(moved <= kMaxShift * kLate);
    // The requests do shift.
    CHECK(moved > 0);
  }
}

TEST_CASE("a request can shift if there are only few requests") {
  ShiftLimiter limiter(kLimit);
  const TimePoint start(std::chrono::hours(1));
  // Five requests in each window, all near, then one for another region.
  for (int i = 0; i < 10; ++i) {
    limiter.Record(kNearRegion, start + i * Milliseconds(400));
  }
  CHECK(limiter.BoundsAt(start + Milliseconds(4000)).Allows(1));
}

TEST_CASE("a retracted request does not count") {
  ShiftLimiter limiter(kLimit);
  const TimePoint start(std::chrono::hours(1));
  for (int i = 0; i < 400; ++i) {
    limiter.Record(kNearRegion, start + i * Milliseconds(10));
  }
  const TimePoint end = start + Milliseconds(4000);
  for (int i = 0; i < 1000; ++i) {
    limiter.Record(kNearRegion, end);
    limiter.Retract(kNearRegion, end);
  }
  for (int i = 0; i < 20; ++i) {
    limiter.Record(1, end);
  }
  CHECK_FALSE(limiter.BoundsAt(end + Milliseconds(1500)).Allows(1));
}

TEST_CASE("shifts among other regions are limited as well") {
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
  // After a while the new distribution is the basis of the limit.
  CHECK(limiter.BoundsAt(end + std::chrono::seconds(10)).Allows(2));
}

}  // namespace
}  // namespace redwing
