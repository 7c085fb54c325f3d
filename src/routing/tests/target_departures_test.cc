#include "routing/target_departures.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("only a later start of a departed target is usable again") {
  TargetDepartures departures;
  const TargetStart left("t", 1'000);
  CHECK_FALSE(departures.HasLeft(left));
  CHECK(departures.RecordFromResponse(left, kStart));
  CHECK_FALSE(departures.RecordFromResponse(left, kStart));
  CHECK(departures.HasLeft(left));
  // An outdated entry of the platform's list.
  CHECK(departures.HasLeft({"t", 900}));
  CHECK_FALSE(departures.HasLeft({"t", 1'001}));
  // The new start departs as well; the report of the old start arrives late.
  CHECK(departures.RecordFromPeer({"t", 2'000}, kStart));
  CHECK_FALSE(departures.RecordFromPeer(left, kStart));
  CHECK(departures.HasLeft({"t", 2'000}));
}

TEST_CASE("a departed target stays closed while it is not listed") {
  TargetDepartures departures;
  const TargetStart left("t", 1'000);
  departures.RecordFromResponse(left, kStart);
  TimePoint now = kStart;
  for (int minute = 0; minute < 10; ++minute) {
    departures.Retain([](uint64_t) { return false; }, now);
    CHECK(departures.HasLeft(left));
    now += std::chrono::minutes(1);
  }
  // While it is listed, the departure does not expire.
  departures.Retain([](uint64_t) { return true; }, now);
  now += std::chrono::hours(9);
  departures.Retain([](uint64_t) { return true; }, now);
  CHECK(departures.HasLeft(left));
}

TEST_CASE("a target of unknown start is usable again once it is listed again") {
  TargetDepartures departures;
  const TargetStart left("t", 0);
  departures.RecordFromResponse(left, kStart);
  departures.Retain([](uint64_t) { return true; }, kStart);
  CHECK(departures.HasLeft(left));
  departures.Retain([](uint64_t) { return false; }, kStart);
  CHECK_FALSE(departures.HasLeft(left));
}

TEST_CASE("each departure is announced, a bounded number in a message") {
  TargetDepartures departures;
  constexpr int kLeft = 100;
  for (int i = 0; i < kLeft; ++i) {
    departures.RecordFromResponse({std::to_string(i), 1}, kStart);
  }
  // Departures received from peers are not announced again; otherwise they
  // could circulate without end after their source has stopped announcing them.
  departures.RecordFromPeer({"from_peer", 1}, kStart);
  std::set<uint64_t> announced;
  for (int message = 0; message < 8; ++message) {
    const std::vector<TargetStart> next = departures.NextToAnnounce(kStart);
    CHECK(next.size() <= TargetAnnouncements::kMaxPerMessage);
    for (const TargetStart& target : next) {
      announced.insert(target.name_hash);
    }
  }
  CHECK(announced.size() == kLeft);
  CHECK(announced.count(TargetStart("from_peer", 1).name_hash) == 0);
  CHECK(departures
            .NextToAnnounce(kStart + TargetAnnouncements::kAnnounceFor +
                            Milliseconds(1))
            .empty());
}

TEST_CASE("the number of recorded targets is bounded") {
  TargetDepartures departures;
  constexpr int kLeft = static_cast<int>(TargetMemory<bool>::kMaxTargets) + 10;
  for (int i = 0; i < kLeft; ++i) {
    departures.RecordFromPeer({std::to_string(i), 1}, kStart + Milliseconds(i));
  }
  CHECK_FALSE(departures.HasLeft({"0", 1}));
  CHECK(departures.HasLeft({std::to_string(kLeft - 1), 1}));
}

TEST_CASE("a target start is parsed back from its header format") {
  const TargetStart start("i-7f3a91c2", 1'700'000'000'000);
  CHECK(TargetStart::Parse(start.Format()) == start);
  for (const char* const text : {"", "-", "zz-1", "1f-", "-5", "1f-5x", "1f"}) {
    CAPTURE(text);
    CHECK_FALSE(TargetStart::Parse(text));
  }
}

}  // namespace
}  // namespace redwing
