// Plays a load that changes in one region: requests move to the other region
// and back little by little.

#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "framework/wire/digest.h"
#include "routing/place_choice.h"
#include "routing/shift_limiter.h"
#include "routing/tests/target_model.h"

namespace redwing {
namespace {

constexpr int kTargetsPerRegion = 4;
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
constexpr double kLimit = 0.09;

struct Placed {
  double at = 0;
  bool far = false;
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
  std::array<TargetModel, 2 * kTargetsPerRegion> targets;
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
    const std::optional<size_t> chosen = ChoosePlace(
        times, kAimMs - times.warm_ms(), limiter.BoundAt(at), &list);
    if (!chosen) {
      continue;
    }
    const bool far = *chosen >= kTargetsPerRegion;
    limiter.Record(far, at);
    bool warm = false;
    targets[*chosen].Run(key, now, &warm);
    times.Learn(warm, Milliseconds(static_cast<int64_t>(
                          warm ? TargetModel::kWarmMs : TargetModel::kColdMs)));
    placed.push_back({now, far});
  }
  return placed;
}

double FarPart(const std::vector<Placed>& placed, double from) {
  double all = 0;
  double far = 0;
  for (const Placed& request : placed) {
    if (request.at >= from && request.at < from + kWindowMs) {
      all += 1;
      far += request.far ? 1 : 0;
    }
  }
  return all > 0 ? far / all : 0;
}

// Returns the largest change of the part that ran in the other region, from one
// window to the next.
double WorstShift(const std::vector<Placed>& placed) {
  double worst = 0;
  for (double from = kSettledMs; from + 2 * kWindowMs < kPlayedMs;
       from += kStepMs) {
    worst = std::max(worst, std::abs(FarPart(placed, from + kWindowMs) -
                                     FarPart(placed, from)));
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

TEST_CASE("few requests can move at all") {
  ShiftLimiter limiter(kLimit);
  const TimePoint start(std::chrono::hours(1));
  // Five a window, all near, then one that wants to go elsewhere.
  for (int i = 0; i < 10; ++i) {
    limiter.Record(false, start + i * Milliseconds(400));
  }
  CHECK(limiter.BoundAt(start + Milliseconds(4000)) == ShiftBound::kAnywhere);
}

TEST_CASE("a limiter that has seen nothing for a while allows any move") {
  ShiftLimiter limiter(kLimit);
  const TimePoint start(std::chrono::hours(1));
  for (int i = 0; i < 400; ++i) {
    limiter.Record(false, start + i * Milliseconds(10));
  }
  const TimePoint end = start + Milliseconds(4000);
  limiter.Record(true, end);
  CHECK(limiter.BoundAt(end) == ShiftBound::kAnywhere);
  for (int i = 0; i < 20; ++i) {
    limiter.Record(true, end);
  }
  CHECK(limiter.BoundAt(end) == ShiftBound::kNearOnly);
  CHECK(limiter.BoundAt(end + std::chrono::seconds(10)) ==
        ShiftBound::kAnywhere);
}

}  // namespace
}  // namespace redwing
