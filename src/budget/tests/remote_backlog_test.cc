#include "budget/remote_backlog.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("a peer's open amount replaces what it asked for before") {
  RemoteBacklog backlog;
  backlog.Set("a", 3, kStart);
  backlog.Set("b", 2, kStart);
  backlog.Set("a", 1, kStart);
  CHECK(backlog.Amount(kStart) == Approx(3));
  backlog.Set("b", 0, kStart);
  CHECK(backlog.Amount(kStart) == Approx(1));
}

TEST_CASE("a peer that does not ask again is forgotten") {
  RemoteBacklog backlog;
  backlog.Set("a", 3, kStart);
  CHECK(backlog.Amount(kStart + RemoteBacklog::kRetention) == Approx(3));
  CHECK(backlog.Amount(kStart + RemoteBacklog::kRetention + Milliseconds(1)) ==
        Approx(0));
}

}  // namespace
}  // namespace redwing
