// Tests the selection of share owners in fleets of several sizes.

#include "budget/internal/share_owners.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <set>

#include "budget/internal/share_holders.h"
#include "membership/identity.h"

namespace redwing {
namespace {

constexpr int kRegions = 3;
constexpr int kDomains = 3;  // per region

std::string RegionOf(int number) {
  return fmt::format("r{}", number % kRegions);
}

std::string DomainOf(int number) {
  return fmt::format("r{}-{}", number % kRegions, number / kRegions % kDomains);
}

Identity IdentityOf(int number) {
  Identity identity;
  identity.name = fmt::format("i{}", number);
  identity.region = RegionOf(number);
  identity.failure_domain = DomainOf(number);
  return identity;
}

// Returns the members that one instance of a fleet sees: all others.
Membership::MemberMap MembersFor(int own, int size) {
  Membership::MemberMap members;
  for (int i = 0; i < size; ++i) {
    if (i == own) {
      continue;
    }
    Member member;
    member.name = fmt::format("i{}", i);
    member.region = RegionOf(i);
    member.failure_domain = DomainOf(i);
    member.state = MemberState::kAlive;
    member.listed = true;
    members.emplace(member.name, member);
  }
  return members;
}

// Lets instances claim shares in turn until no more instance should own one.
ShareHolders ClaimShares(int size, ShareHolders holders) {
  for (bool changed = true; changed;) {
    changed = false;
    for (int i = 0; i < size; ++i) {
      const Identity own = IdentityOf(i);
      if (holders.by_instance.count(own.name) == 0 &&
          ShouldOwnShare(holders, own, MembersFor(i, size))) {
        holders.by_instance[own.name].region = own.region;
        changed = true;
      }
    }
  }
  return holders;
}

TEST_CASE("all instances of a small fleet own a share") {
  const int size = kRegions * static_cast<int>(kOwnersPerRegion);
  CHECK(ClaimShares(size, {}).by_instance.size() == static_cast<size_t>(size));
  CHECK(OwnerCount(BudgetScope::kFleet, IdentityOf(0), MembersFor(0, size)) ==
        static_cast<size_t>(size));
}

TEST_CASE(
    "large fleets have a fixed number of owners, in all failure domains") {
  for (const int size : {30, 63, 295}) {
    CAPTURE(size);
    const ShareHolders holders = ClaimShares(size, {});
    CHECK(holders.by_instance.size() == kRegions * kOwnersPerRegion);
    CHECK(OwnerCount(BudgetScope::kFleet, IdentityOf(0), MembersFor(0, size)) ==
          kRegions * kOwnersPerRegion);
    CHECK(OwnerCount(BudgetScope::kRegion, IdentityOf(0),
                     MembersFor(0, size)) == kOwnersPerRegion);
    std::set<std::string> domains;
    for (const auto& [name, holder] : holders.by_instance) {
      domains.insert(DomainOf(std::stoi(name.substr(1))));
    }
    CHECK(domains.size() == kRegions * kDomains);
  }
}

TEST_CASE("owners are kept and a revoked owner is replaced") {
  constexpr int kSize = 30;
  ShareHolders holders = ClaimShares(kSize, {});
  const std::string lost = holders.by_instance.begin()->first;
  const std::string region = holders.by_instance.begin()->second.region;
  holders.by_instance[lost].revoked = true;
  const ShareHolders after = ClaimShares(kSize, holders);
  CHECK(after.by_instance.size() == kRegions * kOwnersPerRegion + 1);
  for (const auto& [name, holder] : holders.by_instance) {
    CHECK(after.by_instance.count(name) == 1);
  }
  for (const auto& [name, holder] : after.by_instance) {
    if (holders.by_instance.count(name) == 0) {
      CHECK(holder.region == region);
    }
  }
}

}  // namespace
}  // namespace redwing
