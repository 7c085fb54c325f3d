#include "budget/share_bucket.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace redwing {
namespace {

constexpr double kRate = 100;
constexpr double kBurst = 20;
constexpr double kTolerance = 1e-6;

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TimePoint At(int ms) {
  return kStart + Milliseconds(ms);
}

ShareBucket MakeBucket(double share) {
  ShareBucket bucket({"b", BudgetScope::kFleet, kRate, kBurst}, kStart);
  bucket.SetOwnShare(share, kStart);
  return bucket;
}

TEST_CASE("a bucket starts empty and fills to its share of the burst") {
  ShareBucket bucket = MakeBucket(0.5);
  CHECK_FALSE(bucket.TrySpend(1, kStart));
  CHECK(bucket.Tokens(At(100)) == Approx(5));
  CHECK(bucket.Tokens(At(10'000)) == Approx(10));
}

TEST_CASE("what is lent is gone at once and comes back when the lease ends") {
  ShareBucket lender = MakeBucket(1);
  CHECK(lender.Tokens(At(1000)) == Approx(20));
  const double tokens = lender.Lend({1, "peer", 0.25, At(2000)}, At(1000));
  CHECK(tokens == Approx(5));
  CHECK(lender.Tokens(At(1000)) == Approx(15));
  CHECK(lender.Rate() == Approx(75));
  CHECK(lender.Tokens(At(1999)) == Approx(15));
  CHECK(lender.Tokens(At(2100)) == Approx(20));
}

TEST_CASE("a borrowed share ends at its time, whenever that is noticed") {
  ShareBucket borrower = MakeBucket(0);
  borrower.Borrow({1, "peer", 0.5, At(1000)}, 4, kStart);
  CHECK(borrower.Tokens(kStart) == Approx(4));
  // A pause past the end of the lease leaves nothing to spend.
  CHECK(borrower.Tokens(At(30'000)) == Approx(0));
  CHECK_FALSE(borrower.TrySpend(1, At(30'000)));
}

TEST_CASE("a lease that arrives after its end is worth nothing") {
  ShareBucket borrower = MakeBucket(0);
  borrower.Borrow({1, "peer", 0.5, At(1000)}, 4, At(1000));
  CHECK(borrower.Tokens(At(1001)) == Approx(0));
}

TEST_CASE("the own share counts as lent while more is lent than owned") {
  ShareBucket lender = MakeBucket(0.5);
  lender.Lend({1, "peer", 0.4, At(1000)}, kStart);
  lender.SetOwnShare(0.1, At(10));
  CHECK(lender.own_share() == Approx(0.4));
  CHECK(lender.Rate() == Approx(0));
  CHECK_FALSE(lender.ExtendLent(1, At(2000), At(20)));
  lender.Tokens(At(1001));
  CHECK(lender.own_share() == Approx(0.1));
}

TEST_CASE("a returned lease is the lender's again, once") {
  ShareBucket lender = MakeBucket(1);
  ShareBucket borrower = MakeBucket(0);
  lender.Tokens(At(1000));
  borrower.Tokens(At(1000));
  const ShareLease lease = {1, "peer", 0.5, At(2000)};
  borrower.Borrow(lease, lender.Lend(lease, At(1000)), At(1000));
  const double tokens = borrower.Return(1, At(1100));
  CHECK(borrower.Tokens(At(1100)) == Approx(0));
  CHECK(borrower.Return(1, At(1100)) == Approx(0));
  lender.TakeBack(1, "other", tokens, At(1100));
  CHECK(lender.Rate() == Approx(50));
  lender.TakeBack(1, "peer", tokens, At(1100));
  CHECK(lender.Rate() == Approx(100));
  CHECK(lender.Tokens(At(1100)) == Approx(20));
  lender.TakeBack(1, "peer", tokens, At(1100));
  CHECK(lender.Tokens(At(1100)) == Approx(20));
}

// Holders that lend at random, with grants lost, late and out of order, never
// admit more than rate x time + burst together.
TEST_CASE("random lending never admits more than the whole budget") {
  const uint64_t seed = GENERATE(range<uint64_t>(1, 41));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  constexpr int kHolders = 5;
  constexpr int kEndMs = 20'000;
  struct Grant {
    int to;
    ShareLease lease;
    double tokens;
    int arrives_ms;
  };
  std::vector<ShareBucket> holders(kHolders, MakeBucket(1.0 / kHolders));
  std::vector<Grant> grants;
  std::vector<double> admitted_at;
  uint64_t next_id = 1;
  for (int ms = 0; ms < kEndMs; ms += 5) {
    const TimePoint now = At(ms);
    const int from = static_cast<int>(random() % kHolders);
    const int to = static_cast<int>(random() % kHolders);
    if (from != to && random() % 4 == 0) {
      const int sent_ms = ms - static_cast<int>(random() % 50);
      const double own = holders[from].own_share() - holders[from].lent_share();
      const double share = own * (static_cast<double>(random() % 100) / 100);
      if (share > 0) {
        const double tokens =
            holders[from].Lend({next_id, "", share, At(ms + 310)}, now);
        if (random() % 5 != 0) {
          grants.push_back({to,
                            {next_id, "", share, At(sent_ms + 300)},
                            tokens,
                            ms + static_cast<int>(random() % 400)});
        }
        ++next_id;
      }
    }
    for (const Grant& grant : grants) {
      if (grant.arrives_ms >= ms && grant.arrives_ms < ms + 5) {
        holders[grant.to].Borrow(grant.lease, grant.tokens, now);
      }
    }
    for (ShareBucket& holder : holders) {
      // Now and then a holder is paused and spends nothing for a while.
      while (random() % 3 != 0 && holder.TrySpend(1, now)) {
        admitted_at.push_back(ms / 1000.0);
      }
    }
  }
  double lowest = 0;
  double worst = 0;
  for (size_t i = 0; i < admitted_at.size(); ++i) {
    lowest = std::min(lowest, static_cast<double>(i) - kRate * admitted_at[i]);
    worst = std::max(worst, static_cast<double>(i + 1) -
                                kRate * admitted_at[i] - lowest - kBurst);
  }
  CHECK(admitted_at.size() > 1000);
  CHECK(worst <= kTolerance);
}

}  // namespace
}  // namespace redwing
