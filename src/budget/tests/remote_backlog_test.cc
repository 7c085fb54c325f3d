#include "budget/remote_backlog.h"

#include <catch2/catch.hpp>

namespace redwing {
namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TEST_CASE("a peer's new unmet demand replaces its previous one") {
  RemoteBacklog backlog;
  backlog.Set("a", 3, kStart);
  backlog.Set("b", 2, kStart);
  backlog.Set("a", 1, kStart);
  CHECK(backlog.Amount(kStart) == Approx(3));
  backlog.Set("b", 0, kStart);
  CHECK(backlog.Amount(kStart) == Approx(1));
}

TEST_CASE("unmet demand expires if the peer does not request again") {
  RemoteBacklog backlog;
  backlog.Set("a", 3, kStart);
  CHECK(backlog.Amount(kStart + RemoteBacklog::kRetention) == Approx(3));
  CHECK(backlog.Amount(kStart + RemoteBacklog::kRetention + Milliseconds(1)) ==
        Approx(0));
}

}  // namespace
}  // namespace redwing
