#include "routing/target_departures.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("only a later start of a target that left is usable again") {
  TargetDepartures departures;
  const TargetStart left("t", 1'000);
  CHECK_FALSE(departures.HasLeft(left));
  CHECK(departures.NoteAnswer(left, kStart));
  CHECK_FALSE(departures.NoteAnswer(left, kStart));
  CHECK(departures.HasLeft(left));
  // An old entry of the list.
  CHECK(departures.HasLeft({"t", 900}));
  CHECK_FALSE(departures.HasLeft({"t", 1'001}));
  // The new start leaves as well; what the old one said comes late.
  CHECK(departures.NotePeer({"t", 2'000}, kStart));
  CHECK_FALSE(departures.NotePeer(left, kStart));
  CHECK(departures.HasLeft({"t", 2'000}));
}

TEST_CASE("a target that left stays out while the list does not name it") {
  TargetDepartures departures;
  const TargetStart left("t", 1'000);
  departures.NoteAnswer(left, kStart);
  TimePoint now = kStart;
  for (int minute = 0; minute < 10; ++minute) {
    departures.Retain([](uint64_t) { return false; }, now);
    CHECK(departures.HasLeft(left));
    now += std::chrono::minutes(1);
  }
  // Listed all the while, it stays out for ever.
  departures.Retain([](uint64_t) { return true; }, now);
  now += std::chrono::hours(9);
  departures.Retain([](uint64_t) { return true; }, now);
  CHECK(departures.HasLeft(left));
}

TEST_CASE("a target without a known start is new once it is listed anew") {
  TargetDepartures departures;
  const TargetStart left("t", 0);
  departures.NoteAnswer(left, kStart);
  departures.Retain([](uint64_t) { return true; }, kStart);
  CHECK(departures.HasLeft(left));
  departures.Retain([](uint64_t) { return false; }, kStart);
  CHECK_FALSE(departures.HasLeft(left));
}

TEST_CASE("each departure is told, a bounded number in a message") {
  TargetDepartures departures;
  constexpr int kLeft = 100;
  for (int i = 0; i < kLeft; ++i) {
    departures.NoteAnswer({std::to_string(i), 1}, kStart);
  }
  // Heard from others: not told on, so that no rumour outlives its source.
  departures.NotePeer({"heard", 1}, kStart);
  std::set<uint64_t> told;
  for (int message = 0; message < 8; ++message) {
    const std::vector<TargetStart> next = departures.NextToTell(kStart);
    CHECK(next.size() <= TargetDepartures::kToldAtOnce);
    for (const TargetStart& target : next) {
      told.insert(target.name_hash);
    }
  }
  CHECK(told.size() == kLeft);
  CHECK(told.count(TargetStart("heard", 1).name_hash) == 0);
  CHECK(departures
            .NextToTell(kStart + TargetDepartures::kToldFor + Milliseconds(1))
            .empty());
}

TEST_CASE("what is remembered of targets is bounded") {
  TargetDepartures departures;
  constexpr int kLeft = static_cast<int>(TargetMemory<bool>::kMost) + 10;
  for (int i = 0; i < kLeft; ++i) {
    departures.NotePeer({std::to_string(i), 1}, kStart + Milliseconds(i));
  }
  CHECK_FALSE(departures.HasLeft({"0", 1}));
  CHECK(departures.HasLeft({std::to_string(kLeft - 1), 1}));
}

TEST_CASE("the name of a start survives its way in a header field") {
  const TargetStart start("i-7f3a91c2", 1'700'000'000'000);
  CHECK(TargetStart::Parse(start.Format()) == start);
  for (const char* const text : {"", "-", "zz-1", "1f-", "-5", "1f-5x", "1f"}) {
    CAPTURE(text);
    CHECK_FALSE(TargetStart::Parse(text));
  }
}

}  // namespace
}  // namespace redwing
