#include "delivery/internal/idempotency_table.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("a repeated key does not run again and gets the stored response") {
  IdempotencyTable table(kStart);
  CHECK_FALSE(table.Begin("k", 1, kStart).value());
  CHECK(table.Begin("k", 1, kStart).value()->state == KeyState::kRunning);
  CHECK(table.Begin("k", 2, kStart).error().errc == Errc::kIdempotencyMismatch);
  StoredResponse stored_response;
  stored_response.body = "done";
  table.Store("k", stored_response);
  CHECK(table.Begin("k", 1, kStart).value()->stored_response->body == "done");
}

TEST_CASE(
    "a key can be reused if it did not run, not if its outcome is unknown") {
  IdempotencyTable table(kStart);
  table.Begin("a", 1, kStart).value();
  table.Remove("a");
  CHECK_FALSE(table.Begin("a", 1, kStart).value());
  table.MarkUnknown("a");
  CHECK(table.Begin("a", 1, kStart).value()->state ==
        KeyState::kOutcomeUnknown);
}

TEST_CASE("a key is kept for as long as its epoch is accepted") {
  IdempotencyTable table(kStart);
  const uint32_t epoch = table.Epoch(kStart);
  // Registered at the very end of the last epoch in which the key is accepted.
  const TimePoint late =
      kStart + IdempotencyTable::kEpochLength * IdempotencyTable::kEpochsKept -
      Milliseconds(1);
  REQUIRE(table.Accepts(epoch, late));
  CHECK_FALSE(table.Begin("k", 1, late).value());
  for (TimePoint now = late; table.Accepts(epoch, now);
       now += Milliseconds(1)) {
    CHECK(table.Begin("k", 1, now).value());
  }
  CHECK_FALSE(table.Accepts(epoch, late + Milliseconds(1)));
  CHECK_FALSE(table.Accepts(epoch + 1, kStart));
}

TEST_CASE("expired keys are evicted") {
  IdempotencyTable table(kStart);
  table.Begin("k", 1, kStart).value();
  const TimePoint later = kStart + IdempotencyTable::kEpochLength * 4;
  table.Begin("other", 1, later).value();
  CHECK(table.size() == 1);
}

}  // namespace
}  // namespace redwing
