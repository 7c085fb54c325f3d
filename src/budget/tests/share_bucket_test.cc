#include "budget/share_bucket.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "budget/granted_tokens.h"

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

// Returns the maximum, over all time windows, by which the admitted requests
// exceed rate x time + burst. `admitted_at` holds ascending times in seconds.
double WorstOverrun(const std::vector<double>& admitted_at) {
  double lowest = 0;
  double worst = 0;
  for (size_t i = 0; i < admitted_at.size(); ++i) {
    lowest = std::min(lowest, static_cast<double>(i) - kRate * admitted_at[i]);
    worst = std::max(worst, static_cast<double>(i + 1) -
                                kRate * admitted_at[i] - lowest - kBurst);
  }
  return worst;
}

TEST_CASE("a bucket starts empty and fills to its share of the burst") {
  ShareBucket bucket = MakeBucket(0.5);
  CHECK_FALSE(bucket.TrySpend(1, kStart));
  CHECK(bucket.Tokens(At(100)) == Approx(5));
  CHECK(bucket.Tokens(At(10'000)) == Approx(10));
}

TEST_CASE(
    "a lent share is deducted at once and restored when the lease expires") {
  ShareBucket lender = MakeBucket(1);
  CHECK(lender.Tokens(At(1000)) == Approx(20));
  const double tokens = lender.Lend({1, "peer", 0.25, At(2000)}, At(1000));
  CHECK(tokens == Approx(5));
  CHECK(lender.Tokens(At(1000)) == Approx(15));
  CHECK(lender.Rate() == Approx(75));
  CHECK(lender.Tokens(At(1999)) == Approx(15));
  CHECK(lender.Tokens(At(2100)) == Approx(20));
}

TEST_CASE("a borrowed share expires also if the process was paused") {
  ShareBucket borrower = MakeBucket(0);
  borrower.Borrow({1, "peer", 0.5, At(1000)}, 4, kStart);
  CHECK(borrower.Tokens(kStart) == Approx(4));
  // No tokens are left after a pause beyond the expiry of the lease.
  CHECK(borrower.Tokens(At(30'000)) == Approx(0));
  CHECK_FALSE(borrower.TrySpend(1, At(30'000)));
}

TEST_CASE("a lease that arrives after its expiry adds no tokens") {
  ShareBucket borrower = MakeBucket(0);
  borrower.Borrow({1, "peer", 0.5, At(1000)}, 4, At(1000));
  CHECK(borrower.Tokens(At(1001)) == Approx(0));
}

TEST_CASE("own share equals the lent share while more is lent than owned") {
  ShareBucket lender = MakeBucket(0.5);
  lender.Lend({1, "peer", 0.4, At(1000)}, kStart);
  lender.SetOwnShare(0.1, At(10));
  CHECK(lender.own_share() == Approx(0.4));
  CHECK(lender.Rate() == Approx(0));
  CHECK_FALSE(lender.ExtendLent(1, At(2000), At(20)));
  lender.Tokens(At(1001));
  CHECK(lender.own_share() == Approx(0.1));
}

TEST_CASE("a returned lease is restored to its lender once") {
  ShareBucket lender = MakeBucket(1);
  ShareBucket borrower = MakeBucket(0);
  lender.Tokens(At(1000));
  borrower.Tokens(At(1000));
  const ShareLease lease = {1, "peer", 0.5, At(2000)};
  borrower.Borrow(lease, lender.Lend(lease, At(1000)), At(1000));
  const double tokens = borrower.Return(1, At(1100));
  CHECK(borrower.Tokens(At(1100)) == Approx(0));
  CHECK(borrower.Return(1, At(1100)) == Approx(0));
  lender.AcceptReturn(1, "other", tokens, At(1100));
  CHECK(lender.Rate() == Approx(50));
  lender.AcceptReturn(1, "peer", tokens, At(1100));
  CHECK(lender.Rate() == Approx(100));
  CHECK(lender.Tokens(At(1100)) == Approx(20));
  lender.AcceptReturn(1, "peer", tokens, At(1100));
  CHECK(lender.Tokens(At(1100)) == Approx(20));
}

// Instances that lend at random, with grants lost, delayed and reordered, must
// together never admit more than rate x time + burst.
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
      // A holder is randomly paused and spends nothing for a while.
      while (random() % 3 != 0 && holder.TrySpend(1, now)) {
        admitted_at.push_back(ms / 1000.0);
      }
    }
  }
  CHECK(admitted_at.size() > 1000);
  CHECK(WorstOverrun(admitted_at) <= kTolerance);
}

TEST_CASE("granted tokens reduce the capacity until they are settled") {
  ShareBucket owner = MakeBucket(0.5);
  owner.Tokens(At(1000));
  CHECK(owner.GrantTokens({1, "peer", 4, At(2000)}, At(1000)));
  CHECK_FALSE(owner.GrantTokens({2, "peer", 7, At(2000)}, At(1000)));
  CHECK(owner.Tokens(At(1900)) == Approx(6));
  owner.SettleGrant(1, "other", At(1900));
  CHECK(owner.Capacity() == Approx(6));
  owner.SettleGrant(1, "peer", At(1900));
  CHECK(owner.Capacity() == Approx(10));
  CHECK(owner.GrantTokens({3, "peer", 4, At(2000)}, At(1900)));
  // The grant expires even if it was not reported as spent.
  CHECK(owner.Tokens(At(2500)) == Approx(10));
}

TEST_CASE("granted tokens cannot be lent and do not outlast a borrowed share") {
  ShareBucket owner = MakeBucket(0.5);
  owner.Tokens(At(1000));
  CHECK(owner.GrantTokens({1, "peer", 4, At(2000)}, At(1000)));
  CHECK(owner.FreeShare() == Approx(0.5 - 4 / kBurst));
  owner.Borrow({2, "lender", 0.2, At(1500)}, 2, At(1000));
  // The borrowed share covers four more tokens, but not beyond its expiry.
  CHECK(owner.GrantTokens({3, "peer", 6, At(2000)}, At(1000)));
  owner.Tokens(At(1400));
  CHECK_FALSE(owner.GrantTokens({4, "peer", 1, At(2000)}, At(1400)));
  CHECK(owner.GrantTokens({4, "peer", 1, At(1450)}, At(1400)));
  CHECK_FALSE(owner.CanReturn(owner.borrowed().front()));
}

// Instance without a share, and the grants sent to it.
struct Grantee {
  struct Delivery {
    TokenGrantRecord grant;
    int arrives_ms = 0;
  };
  GrantedTokens tokens;
  std::vector<Delivery> deliveries;
};

// Share owners that lend shares and grant tokens, and the recipients of these
// tokens, must together never admit more than rate x time + burst, also if
// grants and reports of spent grants are lost or delayed.
TEST_CASE("random grants and lending never admit more than the whole budget") {
  const uint64_t seed = GENERATE(range<uint64_t>(1, 201));
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  constexpr int kOwners = 3;
  constexpr int kGrantees = 6;
  constexpr int kEndMs = 10'000;
  constexpr int kTermMs = 300;
  std::vector<ShareBucket> owners(kOwners, MakeBucket(1.0 / kOwners));
  std::vector<Grantee> grantees(kGrantees);
  std::vector<double> admitted_at;
  uint64_t next_id = 1;
  for (int ms = 0; ms < kEndMs; ms += 5) {
    const TimePoint now = At(ms);
    const size_t from = random() % kOwners;
    const size_t to = random() % kOwners;
    if (from != to && random() % 8 == 0) {
      owners[from].Tokens(now);
      const double share = owners[from].FreeShare() *
                           (static_cast<double>(random() % 100) / 100);
      if (share > 0) {
        const double tokens = owners[from].Lend(
            {next_id, std::to_string(to), share, At(ms + 410)}, now);
        owners[to].Borrow({next_id, std::to_string(from), share, At(ms + 400)},
                          tokens, now);
        ++next_id;
      }
    }
    if (random() % 8 == 0 && !owners[to].borrowed().empty()) {
      owners[to].Tokens(now);
      const std::vector<ShareLease> leases = owners[to].borrowed();
      if (!leases.empty() && owners[to].CanReturn(leases.back())) {
        const ShareLease& lease = leases.back();
        const double tokens = owners[to].Return(lease.id, now);
        owners[std::stoul(lease.peer)].AcceptReturn(
            lease.id, std::to_string(to), tokens, now);
      }
    }
    Grantee& grantee = grantees[random() % kGrantees];
    const int sent_ms = ms - static_cast<int>(random() % 50);
    const double amount = static_cast<double>(1 + random() % 3);
    if (owners[from].GrantTokens(
            {next_id, "peer", amount, At(ms + kTermMs + 10)}, now)) {
      if (random() % 5 != 0) {
        grantee.deliveries.push_back(
            {{next_id, std::to_string(from), amount, At(sent_ms + kTermMs)},
             ms + static_cast<int>(random() % 400)});
      }
      ++next_id;
    }
    for (Grantee& other : grantees) {
      for (const Grantee::Delivery& delivery : other.deliveries) {
        if (delivery.arrives_ms >= ms && delivery.arrives_ms < ms + 5) {
          other.tokens.Add(delivery.grant, now);
        }
      }
      // A grantee is randomly paused and spends nothing for a while.
      while (random() % 2 != 0 && other.tokens.Amount(now) >= 1) {
        other.tokens.Spend(1, now);
        admitted_at.push_back(ms / 1000.0);
      }
      if (random() % 3 != 0) {
        for (size_t owner = 0; owner < kOwners; ++owner) {
          for (const uint64_t id :
               other.tokens.TakeSpent(std::to_string(owner))) {
            owners[owner].SettleGrant(id, "peer", now);
          }
        }
      }
    }
    for (ShareBucket& owner : owners) {
      while (random() % 8 == 0 && owner.TrySpend(1, now)) {
        admitted_at.push_back(ms / 1000.0);
      }
    }
  }
  CHECK(admitted_at.size() > 200);
  CHECK(WorstOverrun(admitted_at) <= kTolerance);
}

}  // namespace
}  // namespace redwing
